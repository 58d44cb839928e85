/*
 * Model of requests that run at most once: one idempotency key, CALLS calls
 * with that key at different routers, and one row in the table service.
 *
 * Assumptions:
 * - The table service commits a transaction if the row has the version that
 *   the transaction names. A version is never reused.
 * - A write may be applied with its response lost, may be lost, or may be
 *   applied at any later moment after its writer abandoned it, even after the
 *   writer died. FAULTS bounds how often this happens in a run, and KILLS how
 *   often a router dies. Each process has at most one delayed write in
 *   transit.
 * - A router may pause between any two steps (interleaving), and may die
 *   before any step. A dead router sends nothing more, except for the write
 *   that is already in transit.
 * - A row keeps the id of the call that claimed it until it is claimed again.
 * - The target runs a call at once, refuses it as not run, or loses the
 *   connection. After a lost connection the call has run, never runs, or runs
 *   at any later moment.
 * - A watcher may declare the owner of a claim lost at any moment, correctly
 *   or not. The model has no status query.
 * - Liveness: weak fairness of all processes.
 */
// verify: safety
// verify: safety -DCALLS=3 -DFAULTS=1 -DKILLS=0
// verify: liveness answered -DFAULTS=1
// verify: liveness resolved -DFAULTS=1
// reject: safety -DABSENCE_IS_PROOF
// reject: safety -DIGNORES_CONDITION
// reject: safety -DSTARTS_BEFORE_CLAIM
// reject: safety -DRETRIES_BROKEN_CALLS
// reject: safety -DCLAIMS_OVER_UNKNOWN
// reject: liveness answered -DFAULTS=1 -DWAITS_FOR_LOST_ANSWER
// reject: liveness resolved -DFAULTS=1 -DNO_WATCHER

#ifndef CALLS
#define CALLS 2
#endif
#define WATCHER CALLS
#define NOBODY 9
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef KILLS
#define KILLS 1
#endif

mtype = { absent, claimed, settled, unknown, released, tombstone };
mtype = { ok, conflict, lost };

/* The claim row in the table service. */
mtype row_state = absent;
byte row_owner = NOBODY;
byte row_version = 0;
byte last_version = 0;

/* Delayed writes that their writers abandoned, one per process. */
bool late_pending[CALLS + 1];
mtype late_state[CALLS + 1];
byte late_owner[CALLS + 1];
byte late_condition[CALLS + 1];

byte faults = FAULTS;
byte kills = KILLS;
byte runs = 0;
bool late_run[CALLS];
bool ran[CALLS];
bool told_not_run[CALLS];
byte finished = 0;

inline run_at_target(call)
{
    runs++;
    ran[call] = true;
    assert(runs == 1);          /* at most one run per key */
    assert(!told_not_run[call]) /* "not run" is correct */
}

inline apply(condition, state, owner, answer)
{
    if
#ifdef IGNORES_CONDITION
    :: true ->
#else
    :: condition == row_version ->
#endif
        last_version++;
        row_version = last_version;
        row_state = state;
        row_owner = owner;
        answer = ok;
        /* A call refused as not run has no claim in transit. */
        assert(!(state == claimed && told_not_run[owner]))
#ifndef IGNORES_CONDITION
    :: else -> answer = conflict
#endif
    fi
}

inline commit(writer, condition, state, owner, answer)
{
    atomic {
        if
        :: apply(condition, state, owner, answer)
        :: faults > 0 ->
            faults--;
            apply(condition, state, owner, answer);
            answer = lost
        :: faults > 0 && !late_pending[writer] ->
            faults--;
            late_pending[writer] = true;
            late_state[writer] = state;
            late_owner[writer] = owner;
            late_condition[writer] = condition;
            answer = lost
        :: faults > 0 -> faults--; answer = lost
        fi
    }
}

/* The router may die at this point. */
#define MAY_DIE \
    if \
    :: kills > 0 -> kills--; goto dead \
    :: true \
    fi

proctype router(byte me)
{
    byte condition = 0;
    byte tries = 0;
    mtype answer;
    mtype outcome;

claim:
    MAY_DIE;
    commit(me, condition, claimed, me, answer);
#ifdef STARTS_BEFORE_CLAIM
    goto started;
#endif
    if
    :: answer == ok -> goto started
    :: answer == conflict -> goto look
    :: answer == lost -> goto settle_claim
    fi;

settle_claim:
    MAY_DIE;
#ifdef WAITS_FOR_LOST_ANSWER
    false;
#endif
    atomic {
        if
        :: row_owner == me && row_state == tombstone -> goto not_run
        :: row_version != condition -> goto look
        :: else
        fi
    }
#ifdef ABSENCE_IS_PROOF
    goto not_run;
#endif
    if
    :: goto claim /* retry the same transaction */
    :: commit(me, condition, tombstone, me, answer)
    fi;
    if
    :: answer == ok -> goto not_run
    :: answer == conflict -> goto look
    :: answer == lost -> goto settle_claim
    fi;

look:
    MAY_DIE;
    atomic {
        if
        :: row_owner == me && row_state == claimed ->
            condition = row_version;
            goto started
        :: row_owner == me && row_state == tombstone -> goto not_run
        :: row_owner == me && row_state == unknown ->
            /* Declared lost before the call was started. */
            condition = row_version;
            told_not_run[me] = true;
            assert(!ran[me]);
            outcome = released;
            goto record
#ifdef CLAIMS_OVER_UNKNOWN
        :: row_owner != me && row_state == unknown && tries < 1 ->
            tries++;
            condition = row_version;
            goto claim
#endif
        :: else
        fi;
        if
        :: row_state == settled -> assert(runs == 1); goto done
        :: row_state == released || row_state == tombstone ->
            if
            :: tries < 1 ->
                tries++;
                condition = row_version;
                goto claim
            :: else -> goto not_run
            fi
        :: else -> goto done /* responds "in progress" or "unknown" */
        fi
    }

not_run:
    atomic {
        told_not_run[me] = true;
        assert(!ran[me])
    };
    goto done;

started:
    MAY_DIE;
    if
    :: row_owner == me -> condition = row_version
    :: else
    fi;
    if
    :: atomic { run_at_target(me); outcome = settled }
    :: atomic { run_at_target(me); outcome = unknown }
    :: outcome = unknown
    :: late_run[me] = true; outcome = unknown
    :: told_not_run[me] = true; outcome = released
    fi;
#ifdef RETRIES_BROKEN_CALLS
    if
    :: outcome == unknown -> outcome = released
    :: else
    fi;
#endif

record:
    MAY_DIE;
    commit(me, condition, outcome, me, answer);
    if
    :: answer == ok -> goto done
    :: else
    fi;
    MAY_DIE;
    atomic {
        if
        :: row_owner != me || row_state == outcome -> goto done
        :: row_owner == me && row_state != outcome &&
           (row_state == claimed ||
            (row_state == unknown && outcome != unknown)) ->
            condition = row_version;
            goto record
        :: else -> goto done
        fi
    }

dead:
done:
    atomic {
        finished++;
        condition = 0;
        tries = 0;
        answer = ok;
        outcome = ok
    }
}

/* The watcher: declares owners lost, at any moment. */
active proctype watcher()
{
    byte condition;
    byte owner;
    mtype answer;
end:
    do
#ifndef NO_WATCHER
    :: atomic {
           row_state == claimed ->
           condition = row_version;
           owner = row_owner
       };
       commit(WATCHER, condition, unknown, owner, answer);
       atomic { condition = 0; owner = 0; answer = ok }
#else
    :: condition = 1; condition = 0
#endif
    od
}

/* Delivers the writes in transit late. */
active proctype network()
{
    byte index;
    mtype answer;
end:
    do
    :: atomic {
           late_pending[0] || late_pending[1] || late_pending[CALLS - 1] ||
           late_pending[CALLS] ->
           if
           :: late_pending[0] -> index = 0
           :: late_pending[1] -> index = 1
           :: late_pending[CALLS - 1] -> index = CALLS - 1
           :: late_pending[CALLS] -> index = CALLS
           fi;
           late_pending[index] = false;
           apply(late_condition[index], late_state[index],
                 late_owner[index], answer);
           late_state[index] = absent;
           late_owner[index] = 0;
           late_condition[index] = 0;
           index = 0;
           answer = ok
       }
    :: atomic { late_run[0] -> late_run[0] = false; run_at_target(0) }
    :: atomic { late_run[1] -> late_run[1] = false; run_at_target(1) }
    :: atomic {
           late_run[CALLS - 1] ->
           late_run[CALLS - 1] = false;
           run_at_target(CALLS - 1)
       }
    od
}

init
{
    atomic {
        run router(0);
        run router(1);
        if
        :: CALLS > 2 -> run router(2)
        :: else
        fi
    }
}

/* Every call receives a response, unless its router died. */
ltl answered { <> (finished == CALLS) }

/* Every claim eventually has an outcome. */
ltl resolved { <> [] (row_state != claimed) }
