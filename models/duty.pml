// Model of duties: calls that one host at a time makes for the fleet, to a
// receiver that does not check fencing numbers, and the report of one window.
//
// Two hosts in two regions, the lease of the fleet with its fencing number, the
// leases of the regions that it has replaced, the row of the window's report, and
// the receiver. Models the classes lease_holder, regional_leases,
// fleet_authority, duty_caller and usage_reporter.
//
// Assumptions:
// - A host acquires the lease only after the term of the former holder has
//   ended on that holder's own clock, which counts suspension.
// - The check of the term and the write of a call are one step, since nothing
//   waits between them. A call arrives within the delivery margin, or is
//   aborted by then; a successor waits for that long.
// - The store may be restored once from an older copy. It then forgets the row
//   and the lease, and both hosts give up the lease.
// - Responses of the store may be lost: a host learns from a conflict what the
//   row holds.
// - A host may be restarted with a former version of the program, which knows the
//   lease of its region only, once a host of the present version has held the
//   lease; and with the present version again. The copy of the store is not older
//   than that.
// - Bounds: TERMS changes of the holder, CALLS calls and RESTARTS restarts.
//
// Safety: fencing numbers never fall at the receiver, two hosts never use the
// same one, and the receiver never gets two different reports of the window.
//
// verify: safety
// reject: safety -DSEND_AFTER_LAPSE
// reject: safety -DNO_MARGIN
// reject: safety -DNUMBER_REUSED
// reject: safety -DNO_ROW_CONDITION
// reject: safety -DSEND_UNRECORDED
// reject: safety -DREPORT_AFTER_ERA
// reject: safety -DREGIONAL_LEASES
// reject: safety -DREGIONS_LEFT_OPEN
// reject: safety -DNUMBER_OF_FLEET_ONLY

#define TERMS 4
#define CALLS 4
#define RESTARTS 3
#define NONE 255
#define ERA_STEP 16

#ifdef REPORT_AFTER_ERA
#define MAY_MAKE_REPORT true
#else
#define MAY_MAKE_REPORT (!is_restored)
#endif
#ifdef NO_ROW_CONDITION
#define ROW_MAY_BE_WRITTEN true
#else
#define ROW_MAY_BE_WRITTEN (row == 0)
#endif
#ifdef SEND_UNRECORDED
#define IS_RECORDED(h) true
#else
#define IS_RECORDED(h) (body[h] != 0 && row == body[h])
#endif
#ifdef SEND_AFTER_LAPSE
#define MAY_SEND(h) (number[h] != 0)
#else
#define MAY_SEND(h) (valid[h])
#endif
#ifdef NO_MARGIN
#define IS_MARGIN_OVER(h) true
#else
#define IS_MARGIN_OVER(h) (!in_transit[1 - h])
#endif
#ifdef NUMBER_REUSED
#define FIRST_NUMBER_OF_ERA 0
#else
#define FIRST_NUMBER_OF_ERA ERA_STEP
#endif

byte lease_number = 0; // the number in the row of the fleet's lease
byte region_number[2]; // the numbers in the rows of the regions
bool is_closed[2];     // no former version acquires the lease of the region
bool has_begun = false; // a host of the present version has held the lease
byte restarts = 0;
byte row = 0;          // the report in the window's row; 0 for no row
bool is_restored = false;
byte terms = 0;
byte calls = 0;

bool former[2]; // the host runs a former version
bool valid[2];  // the term of the host has not ended
byte number[2]; // its fencing number
byte body[2];   // the report that it knows to be recorded; 0 for none

// A call in transit of each host: its number and report.
bool in_transit[2];
byte call_number[2];
byte call_body[2];

// The receiver.
byte seen_number = 0;
byte seen_host = NONE;
byte seen_body = 0;

#ifdef REGIONAL_LEASES
#define IS_LEASE_FREE(h) (!valid[h])
#else
#define IS_LEASE_FREE(h) (!valid[0] && !valid[1])
#endif

// The number is greater than those in all rows.
inline draw_number()
{
#ifdef REGIONAL_LEASES
    lease_number = region_number[h] + 1;
    region_number[h] = lease_number;
#else
    if
#ifndef NUMBER_OF_FLEET_ONLY
    :: region_number[0] > lease_number && region_number[0] >= region_number[1] ->
        lease_number = region_number[0]
    :: region_number[1] > lease_number && region_number[1] > region_number[0] ->
        lease_number = region_number[1]
#endif
    :: else
    fi;
    lease_number++;
    region_number[0] = lease_number;
    region_number[1] = lease_number;
#ifndef REGIONS_LEFT_OPEN
    is_closed[1] = true;
#endif
#endif
}

inline acquire(h)
{
    atomic {
        !former[h] && IS_LEASE_FREE(h) && terms < TERMS ->
        terms++;
        draw_number();
        number[h] = lease_number;
        valid[h] = true;
        has_begun = true;
    }
}

// A holder of the present version holds the leases of all regions.
inline acquire_region(h)
{
    atomic {
        former[h] && !is_closed[h] && !valid[h] &&
        !(valid[1 - h] && !former[1 - h]) && terms < TERMS ->
        terms++;
        region_number[h]++;
        number[h] = region_number[h];
        valid[h] = true;
    }
}

inline restart(h)
{
    atomic {
        has_begun && restarts < RESTARTS ->
        restarts++;
        valid[h] = false;
        number[h] = 0;
        body[h] = 0;
        if
        :: former[h] = true
        :: former[h] = false
        fi
    }
}

inline record(h)
{
    atomic {
        valid[h] && body[h] == 0 && MAY_MAKE_REPORT ->
        if
        :: ROW_MAY_BE_WRITTEN -> row = h + 1; body[h] = row
        :: ROW_MAY_BE_WRITTEN -> row = h + 1 // the response is lost
        :: row != 0 -> body[h] = row
        fi
    }
}

// A holder that recorded the report in an earlier era writes the row again.
inline record_again(h)
{
    atomic { valid[h] && body[h] != 0 && row == 0 -> row = body[h] }
}

inline send(h)
{
    atomic {
        calls < CALLS && !in_transit[h] && IS_RECORDED(h) && MAY_SEND(h) &&
        IS_MARGIN_OVER(h) ->
        calls++;
        in_transit[h] = true;
        call_number[h] = number[h];
        call_body[h] = (body[h] != 0 -> body[h] : h + 1);
    }
}

proctype host(byte h)
{
end:
    do
    :: acquire(h)
    :: acquire_region(h)
    :: restart(h)
    :: record(h)
    :: record_again(h)
    :: send(h)
    :: atomic { valid[h] -> valid[h] = false }
    od
}

proctype network()
{
    byte h;
end:
    do
    :: atomic {
        in_transit[0] || in_transit[1] ->
        if
        :: in_transit[0] -> h = 0
        :: in_transit[1] -> h = 1
        fi;
        in_transit[h] = false;
        if
        :: true -> // lost
        :: true ->
            assert(call_number[h] >= seen_number);
            assert(call_number[h] > seen_number || seen_host == h);
            assert(seen_body == 0 || seen_body == call_body[h]);
            seen_number = call_number[h];
            seen_host = h;
            seen_body = call_body[h];
        fi
    }
    od
}

proctype restore()
{
    atomic {
        is_restored = true;
        row = 0;
        valid[0] = false;
        valid[1] = false;
        lease_number = FIRST_NUMBER_OF_ERA;
        region_number[0] = FIRST_NUMBER_OF_ERA;
        region_number[1] = FIRST_NUMBER_OF_ERA;
    }
}

init
{
    atomic {
        run host(0);
        run host(1);
        run network();
        run restore();
    }
}
