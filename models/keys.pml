/* Issued idempotency keys: at most one run of a request, whatever is lost,
 * delayed, repeated, paused or restarted.
 *
 * Host 0 issued the key in its incarnation 0. Copies of the request arrive
 * at host 0 or at host 1, which forwards them. Messages between hosts and to
 * the target may be lost or come late. Host 0 may be restarted at any step,
 * which loses its ledger, and may be paused (every interleaving covers it).
 *
 * Variants that must fail:
 *   -DNO_INCARNATION  a restarted host runs keys of its former incarnation
 *   -DRETRY_BROKEN    a broken connection is taken for "not run"
 *   -DANY_HOST        a host that cannot reach the coordinator runs the key
 *   -DYIELD_RUNNING   a stopping host yields its keys while one still runs
 *   -DYIELD_KEEP      a host goes on to run keys that it has yielded
 *
 * At a planned stop host 0 yields its keys to host 1, at most once, in a
 * message that may be lost; from its arrival on host 1 decides.
 */
#define COPIES 3
#define RESTARTS 2

mtype = { FREE, RUNNING, DONE };

chan forwarded = [2] of { byte };     /* to host 0: incarnation in the key */
chan to_target = [3] of { byte };     /* requests on their way */

byte incarnation = 0;                 /* of host 0 */
mtype row = FREE;                     /* ledger of host 0 */
byte runs = 0;                        /* at the target */
byte refused_not_run = 0;
byte restarts = 0;
bool yielded = false;                 /* host 0 has begun to yield */
bool heir = false;                    /* host 1 has taken over */
mtype heir_row = FREE;                /* ledger of host 1 */

#ifdef NO_INCARNATION
#define KNOWN(key_incarnation) true
#else
#define KNOWN(key_incarnation) (key_incarnation == incarnation)
#endif
#ifdef YIELD_KEEP
#define DECIDES true
#else
#define DECIDES (!yielded)
#endif

/* Host 0 claims the key and sends the request to the target. The connection
 * fails before anything is written, or the request goes out and its answer
 * may come, be lost, or the connection break. Otherwise the answer is
 * unknown, a replay, or comes from host 1. */
inline claim(key_incarnation)
{
    if
    :: KNOWN(key_incarnation) && DECIDES && row == FREE &&
       nfull(to_target) -> row = RUNNING; to_target ! 0
    :: KNOWN(key_incarnation) && DECIDES && row == FREE ->
       refused_not_run = 1                         /* proven not run */
    :: !KNOWN(key_incarnation) || !DECIDES || row != FREE -> skip
    fi
}

/* Host 1 claims a key that it has taken over. */
inline claim_at_heir()
{
    if
    :: heir && heir_row == FREE && nfull(to_target) ->
        heir_row = DONE;
        to_target ! 0
    :: !heir || heir_row != FREE || full(to_target) -> skip
    fi
}

/* The planned stop: the ledger goes to host 1, or the message is lost. */
proctype Yielder()
{
    mtype sent;
    if
#ifndef YIELD_RUNNING
    :: atomic { incarnation == 0 && row != RUNNING -> yielded = true;
                sent = row }
#else
    :: atomic { incarnation == 0 -> yielded = true;
                sent = (row == RUNNING -> FREE : row) }
#endif
        if
        :: atomic { heir_row = sent; heir = true }
        :: skip
        fi
    :: skip
    fi
}

/* The answer, or the break of the connection, reaches host 0. */
proctype Results()
{
end:
    do
    :: row == RUNNING -> row = DONE
#ifdef RETRY_BROKEN
    :: row == RUNNING -> row = FREE
#endif
    od
}

proctype Caller()
{
    byte copies = 0;
    do
    :: copies < COPIES ->
        copies++;
        if
        :: atomic { claim(0) }                     /* arrives at host 0 */
        :: nfull(forwarded) -> forwarded ! 0       /* by way of host 1 */
        :: atomic { claim_at_heir() }              /* decided by host 1 */
#ifdef ANY_HOST
        :: nfull(to_target) -> to_target ! 0       /* run by host 1 */
#endif
        fi
    :: copies == COPIES -> break
    od
}

/* Host 0 takes a forwarded request, now or much later, or it is lost. */
proctype Link()
{
    byte key;
end:
    do
    :: forwarded ? key -> atomic { claim(key) }
    :: forwarded ? key -> skip
    od
}

proctype Restarter()
{
    do
    :: restarts < RESTARTS ->
        atomic { restarts++; incarnation++; row = FREE }
    :: break
    od
}

proctype Target()
{
    byte key;
end:
    do
    :: to_target ? key ->
        runs++;
        assert(runs <= 1)
    :: to_target ? key -> skip                     /* lost on the way */
    od
}

init
{
    atomic {
        run Caller();
        run Link();
        run Results();
        run Restarter();
        run Yielder();
        run Target()
    }
}
