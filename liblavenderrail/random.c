/* Seeded pseudo-random generator: Tausworthe, from GSL. */
#include "lavenderrail.h"

#include <gsl/gsl_rng.h>

struct LrRandom {
    gsl_rng *rng;
};

LrRandom *
LrRandom_New(uint64_t seed)
{
    LrRandom *random = g_new0(LrRandom, 1);
    random->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(random->rng, seed);
    return random;
}

void
LrRandom_Free(LrRandom *random)
{
    if (!random) {
        return;
    }
    gsl_rng_free(random->rng);
    g_free(random);
}

uint32_t
LrRandom_Below(LrRandom *random, uint32_t bound)
{
    return (uint32_t)gsl_rng_uniform_int(random->rng, bound);
}

double
LrRandom_Uniform(LrRandom *random)
{
    return gsl_rng_uniform(random->rng);
}
