# Usage: gnuplot -e "csv='admission.csv'; svg='admission.svg'" admission.gp
set terminal svg size 640,360
set output svg
set datafile separator ","
set style data histograms
set style fill solid 0.6
set ylabel "highest concurrency / capacity of the target"
set yrange [0:*]
set arrow from graph 0, first 1 to graph 1, first 1 nohead dashtype 2
set nokey
set xtics rotate by -20
plot csv every ::1 using 3:xtic(stringcolumn(1)." ".stringcolumn(2))
