/* Quantiles of a run's figures. */
#ifndef LAVENDERRAIL_QUANTILE_H
#define LAVENDERRAIL_QUANTILE_H

#include <glib.h>

/* Value of an array of doubles at a share from 0 to 1; sorts the array; 0
 * when it is empty. */
double Quantile_Of(GArray *values, double share);

#endif
