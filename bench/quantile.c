/* Quantiles of a run's figures. */
#include "quantile.h"

#include <stdlib.h>

static int
by_value(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

double
Quantile_Of(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    qsort(values->data, values->len, sizeof(double), by_value);
    guint index = (guint)(share * (values->len - 1));
    return g_array_index(values, double, index);
}
