# Usage: gnuplot -e "csv='overload.csv'; svg='overload.svg'" overload.gp
set terminal svg size 640,360
set output svg
set datafile separator ","
set style data histograms
set style histogram clustered
set style fill solid 0.6
set ylabel "complete answers per second"
set yrange [0:*]
set key top left
plot csv every ::1 using 2:xtic(1) title "at capacity", \
     "" every ::1 using 3 title "at twice the capacity"
