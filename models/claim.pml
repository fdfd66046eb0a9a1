// Idempotency keys claimed by compare-and-swap: core/claimer.
// variants: RUN_UNREAD RUN_ABSENT CLAIM_AGAIN TAKE_OVER BLIND_SETTLE REFUSE_HELD
//
// Two gateways handle requests with the same key against one store. A write is
// answered, is never sent, or its answer is lost; in the last case it is applied
// at once, later or never. Reads fail during an outage. A gateway may be paused
// at any step, and one of them crashes and restarts with a new incarnation.
//
// Checked: the request with the key runs at most once; an attempt that was
// refused as not run never runs; a final refusal, which the store records, holds
// for every attempt; an answer taken from the store belongs to an actual run.

#define ATTEMPTS 2	// attempts of each gateway

mtype = { absent, claimed, done, not_run };

// The store's entry, and the delayed writes, at most one for each gateway.
mtype value = absent;
byte claim = 0;		// unique identifier of the claim in the entry
byte revision = 0;
bool delayed[2];
mtype delayed_value[2];
byte delayed_claim[2];
byte delayed_expected[2];

byte last_claim = 0;
bool crashed = false;

// History variables, used only by the assertions.
byte runs = 0;
bool final_refusal = false;	// an attempt was answered with a final "not run"

mtype = { answered, conflict, lost, unreachable };

inline apply(v, c, expected, result) {
	if
	:: revision == expected -> value = v; claim = c; revision++; result = answered
	:: else -> result = conflict
	fi
}

// Store.Put and its possible failures.
inline put(me, v, c, expected, result) {
	if
	:: true -> apply(v, c, expected, result)
	:: result = unreachable
	:: true -> apply(v, c, expected, result); result = lost
	:: true -> apply(v, c, expected, result); apply(v, c, expected, result)	// sent twice
	:: !delayed[me] ->	// applied at any later time, or never
		delayed[me] = true; delayed_value[me] = v; delayed_claim[me] = c;
		delayed_expected[me] = expected; result = lost
	fi
}

// A crash before the next step: the open attempts are lost, and the new
// incarnation starts at begin. Delayed writes still reach the store.
inline may_crash(me) {
	if
	:: true -> skip
	:: me == 0 && !crashed -> crashed = true; goto begin
	fi
}

inline execute() {
	runs++;
	assert(runs <= 1);
	assert(!final_refusal)
}

// Record.decide for a record of another attempt.
inline decide() {
	if
	:: value == done -> assert(runs == 1)	// VerdictKnown
	:: value == not_run -> final_refusal = true; assert(runs == 0)
	:: value == claimed ->	// VerdictHeld: the holder answers, or the outcome is unknown
#ifdef REFUSE_HELD
		final_refusal = true; assert(runs == 0);
#endif
#ifdef TAKE_OVER
		execute();
#endif
		skip
	:: value == absent -> skip
	fi
}

proctype Gateway(byte me) {
	mtype result = answered;
	mtype final_state = not_run;
	byte claim_id = 0;		// identifier of this attempt's claim
	byte expected_revision = 0;	// revision of the claim, or that Settle read
	byte attempts_left = ATTEMPTS;

begin:	// Claimer.Begin: Claimer.admit, then the write of the claim.
	atomic {
		if
		:: attempts_left == 0 -> goto finished
		:: attempts_left > 0 -> attempts_left--; last_claim++; claim_id = last_claim
		fi
	};
	atomic {
		may_crash(me);
		put(me, claimed, claim_id, 0, result);
		expected_revision = 1;
		if
		:: result == answered -> goto running
		:: result == unreachable -> goto begin	// VerdictRefused with AttemptOnly
		:: else -> skip
		fi
	};
#ifdef CLAIM_AGAIN
	// The answer was lost: claim again with a new identifier, without a read.
	atomic {
		result == lost -> last_claim++; claim_id = last_claim;
		put(me, claimed, claim_id, revision, result);
		expected_revision = revision;
		if :: result == answered -> goto running :: else fi
	};
#endif
	// Claimer.readBack.
	atomic {
		may_crash(me);
		if
		:: true ->	// the read fails: Claimer.abandon
#ifdef RUN_UNREAD
			expected_revision = 1; goto running;
#endif
			final_state = not_run; goto settle
		:: value == absent ->	// Claimer.abandon
#ifdef RUN_ABSENT
			expected_revision = 1; goto running;
#endif
			final_state = not_run; goto settle
		:: value == claimed && claim == claim_id -> expected_revision = revision; goto running
		:: value != absent && claim != claim_id -> decide(); goto begin
		fi
	};

running:	// The driver sends the request, or fails before it sent a byte.
	atomic {
		may_crash(me);
		if
		:: execute(); final_state = done
		:: final_state = not_run
		fi
	};
	if
	:: skip
	:: goto begin	// Claimer.Finish with an unknown outcome writes nothing
	fi;
	// Claimer.Finish.
	atomic {
		may_crash(me);
		put(me, final_state, claim_id, expected_revision, result);
		if
		:: result == answered && final_state == not_run -> final_refusal = true; assert(runs == 0)
		:: else
		fi;
		if :: result == answered -> goto begin :: else fi
	};

settle:	// Claimer.Settle: read, then write if the key has this claim or is absent.
	atomic {
		may_crash(me);
		if
		:: true -> goto retry_settle	// the read fails
#ifndef BLIND_SETTLE
		:: value != absent && (claim != claim_id || value != claimed) -> goto begin
		:: value == absent || (claim == claim_id && value == claimed) -> expected_revision = revision
#else
		:: expected_revision = revision
#endif
		fi
	};
	atomic {
		put(me, final_state, claim_id, expected_revision, result);
		if :: result == answered -> goto begin :: else -> goto retry_settle fi
	};

retry_settle:
	// Until the attempt is settled, this gateway answers repetitions from memory.
	goto settle;

finished:
	skip
}

// Delayed writes reach the store at any time.
active proctype Network() {
	mtype ignored;
end:	do
	:: atomic {
		delayed[0] -> delayed[0] = false;
		apply(delayed_value[0], delayed_claim[0], delayed_expected[0], ignored); ignored = 0
	   }
	:: atomic {
		delayed[1] -> delayed[1] = false;
		apply(delayed_value[1], delayed_claim[1], delayed_expected[1], ignored); ignored = 0
	   }
	od
}

init {
	atomic {
		run Gateway(0);
		run Gateway(1)
	}
}
