// Fault matrix: every fault at every step of a request, faults twice and in
// pairs, under virtual time. The expected outcome comes from a small model of
// the guarantees, not from the engine.
#include <set>

#include "engine_harness.h"

namespace {

// How one attempt ends.
enum Fault {
    NONE,
    CONNECT_FAILED,
    SHED,
    BROKEN,
    GARBAGE,
    WRONG_VERSION,
    REJECTED,
    TIMEOUT,
    LATE,
    N_FAULTS,
};

const char *const NAMES[] = {"none",     "connect_failed", "shed",
                             "broken",   "garbage",        "wrong_version",
                             "rejected", "timeout",        "late"};

// What else happens during a request; its step is the number of replies
// before it.
enum Event { NOTHING, ABORT, NEW_CATALOGUE, PAUSE, STOP, N_EVENTS };

bool
proves_not_run(Fault fault)
{
    return fault == CONNECT_FAILED || fault == SHED;
}

bool
prevents_retry(Fault fault)
{
    return fault == TIMEOUT || fault == LATE || fault == REJECTED;
}

class Run {
  public:
    Run(const char *entry, bool call, Fault first, Fault second, Event event,
        int step)
        : call_(call), faults_{first, second}, event_(event), step_(step)
    {
        id_ = harness_.submit(entry, call);
        faulty_ = call ? harness_.sends.front().shard : "g1";
        if (step_ == 0) {
            trigger_event();
        }
        run_to_end();
        harness_.advance(LR_SECOND);
        for (const Send &send : late_) {
            harness_.reply(send, LR_REPLY_OK);
        }
    }

    void
    check()
    {
        size_t expected = aborted_ ? 0 : 1;
        ASSERT_EQ(harness_.answers.size(), expected);
        EXPECT_EQ(harness_.in_flight(), 0u) << "an attempt was not released";
        EXPECT_EQ(LrEngine_QueryCount(harness_.engine), 0u);
        if (call_) {
            EXPECT_LE(runs_, 1) << "a non-idempotent request ran twice";
        }
        if (harness_.answers.empty()) {
            return;
        }
        const Answer &answer = harness_.answers[0];
        if (answer.outcome == LR_OUTCOME_NOT_RUN) {
            EXPECT_EQ(runs_, 0) << "not_run, but a target ran it";
        }
        for (const auto &[shard, body] : answer.bodies) {
            EXPECT_EQ(body.substr(0, body.find('@')), shard);
            EXPECT_TRUE(valid_bodies_.count(body))
                << "a body of no valid reply";
        }
        if (event_ == NOTHING || event_ == NEW_CATALOGUE || event_ == STOP) {
            check_outcome(answer);
        }
    }

  private:
    void
    trigger_event()
    {
        switch (event_) {
        case ABORT:
            aborted_ = harness_.answers.empty();
            harness_.cancel(id_);
            break;
        case NEW_CATALOGUE:
            harness_.publish({1, 2});
            break;
        case PAUSE:
            harness_.pause(3 * LR_SECOND);
            break;
        case STOP:
            LrEngine_Stop(harness_.engine);
            break;
        default:
            break;
        }
    }

    void
    reply_with(const Send &send, Fault fault)
    {
        static const LrReplyStatus statuses[] = {
            LR_REPLY_OK,      LR_REPLY_CONNECT_FAILED, LR_REPLY_SHED,
            LR_REPLY_BROKEN,  LR_REPLY_GARBAGE,        LR_REPLY_OK,
            LR_REPLY_REJECTED};
        runs_ += !proves_not_run(fault);
        if (fault == TIMEOUT) {
            return;
        }
        if (fault == LATE) {
            late_.push_back(send);
            return;
        }
        if (fault == NONE) {
            valid_bodies_.insert(send.shard + "@" +
                                 std::to_string(send.attempt));
        }
        harness_.reply(send, statuses[fault], fault == WRONG_VERSION ? 9 : -1);
        if (fault == NONE) {
            harness_.reply(send, LR_REPLY_OK);
        }
    }

    void
    run_to_end()
    {
        int n_answered = 0;
        while (!harness_.sends.empty()) {
            Send send = harness_.take();
            Fault fault = NONE;
            if (send.shard == faulty_) {
                fault = n_faulty_ < 2 ? faults_[n_faulty_] : NONE;
                n_faulty_++;
            }
            harness_.advance(LR_MILLISECOND);
            reply_with(send, fault);
            n_answered++;
            if (n_answered == step_) {
                trigger_event();
            }
        }
    }

    // Whether the guarantees require an answer from the faulty shard.
    bool
    part_must_answer() const
    {
        // In flight at the crash of two targets: it is quarantined.
        if (faults_[0] == BROKEN && faults_[1] == BROKEN) {
            return false;
        }
        for (Fault fault : faults_) {
            if (fault == NONE) {
                return true;
            }
            if (prevents_retry(fault) || (call_ && !proves_not_run(fault))) {
                return false;
            }
        }
        return true;
    }

    void
    check_outcome(const Answer &answer)
    {
        bool must_be_complete = part_must_answer();
        LrOutcome expected = LR_OUTCOME_COMPLETE;
        if (!must_be_complete && call_) {
            expected = LR_OUTCOME_UNKNOWN;
        }
        else if (!must_be_complete) {
            expected = LR_OUTCOME_PARTIAL;
        }
        EXPECT_EQ(answer.outcome, expected)
            << LrOutcome_Names[answer.outcome] << " because of "
            << LrReason_Names[answer.reason];
        if (!must_be_complete && !call_) {
            EXPECT_EQ(answer.missing.size(), 1u);
            EXPECT_TRUE(answer.missing.count("g1"));
        }
    }

    EngineHarness harness_;
    bool call_;
    Fault faults_[2];
    Event event_;
    int step_;
    uint64_t id_;
    std::string faulty_;
    int n_faulty_ = 0;
    int runs_ = 0;
    bool aborted_ = false;
    std::set<std::string> valid_bodies_;
    std::vector<Send> late_;
};

void
run_all(const char *entry, bool call, Event event, int step)
{
    for (int first = NONE; first < N_FAULTS; first++) {
        for (int second = NONE; second < N_FAULTS; second++) {
            SCOPED_TRACE(testing::Message()
                         << entry << ": " << NAMES[first] << " then "
                         << NAMES[second] << ", event " << event << " at step "
                         << step);
            Run run(entry, call, static_cast<Fault>(first),
                    static_cast<Fault>(second), event, step);
            run.check();
        }
    }
}

} // namespace

TEST(Matrix, QueryFaultsOnceTwiceAndInPairs)
{
    run_all("ask", false, NOTHING, 0);
}

TEST(Matrix, AtMostOnceFaultsOnceTwiceAndInPairs)
{
    run_all("once", true, NOTHING, 0);
}

TEST(Matrix, QueryFaultsWithAnEventAtEveryStep)
{
    for (int event = ABORT; event < N_EVENTS; event++) {
        for (int step = 0; step <= 4; step++) {
            run_all("ask", false, static_cast<Event>(event), step);
        }
    }
}

TEST(Matrix, AtMostOnceFaultsWithAnEventAtEveryStep)
{
    for (int event = ABORT; event < N_EVENTS; event++) {
        for (int step = 0; step <= 2; step++) {
            run_all("once", true, static_cast<Event>(event), step);
        }
    }
}
