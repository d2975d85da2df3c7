/**
 * @file evidence-internal.h
 * What the evidence*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_EVIDENCE_INTERNAL_H
#define RIDGERIDGE_EVIDENCE_INTERNAL_H

#include "evidence.h"

/** What this entry remembers of a flow, to estimate the work at upstreams, to
 * send copies of a first packet the same way, and to notice lost upstreams. */
struct evidence_flow {
    uint64_t key;          /**< hash of its addresses and ports */
    uint64_t upstream;     /**< id of the upstream */
    uint64_t born;         /**< start of it that was believed to run */
    uint64_t seen_at;      /**< last packet */
    uint64_t forget_at;    /**< deadline; 0: by rest */
    uint64_t opened_at;    /**< first packet that was forwarded */
    uint64_t sent_at;      /**< first data without an answer, 0: none */
    uint64_t resent_at;    /**< last copy of it that counted */
    uint32_t sequence;     /**< of that data */
    uint32_t proofs;       /**< copies in a row before which another upstream
                                answered what was sent after the copy before */
    uint32_t acknowledged; /**< highest that the caller told */
    uint64_t left_at;      /**< last packet that had waited left this node */
    uint32_t waiting;      /**< packets that wait to leave it */
    uint32_t next;         /**< sequence of the data that is to come next */
    bool ordered;          /**< `next` is known */
    bool hole;             /**< something before `next` did not come here */
    bool answered;         /**< the upstream gave a sign of life */
    bool busy;             /**< a request was sent and no answer was seen */
};

/* evidence-choose.c */
/** Says whether an upstream takes new flows. */
bool evidence_takes_new(const struct upstream *upstream);
/** Chooses an upstream of a service for a new flow, other than `not_this`;
 * NULL when there is none. Counts in the verdict how many were weighed, and
 * how many passed over since their hall is emptied. */
struct upstream *evidence_choose(const struct evidence *ev, uint64_t now,
                                 uint16_t service,
                                 const struct upstream *not_this,
                                 struct evidence_verdict *verdict);

/* evidence-outlier.c */
/** How long answers of a route usually take. */
struct evidence_usual {
    uint32_t us;    /**< their median */
    uint32_t count; /**< answers seen */
};
/** An upstream answered data of a route: notes whether far too soon. */
void evidence_note_answer(struct evidence *ev, uint64_t now,
                          const struct evidence_packet *packet,
                          struct upstream *upstream, uint32_t took_us);

/* evidence-reach.c */
/** An upstream answered: its hall is reached. */
void evidence_reach_answered(struct evidence *ev, uint64_t now,
                             const struct upstream *upstream);
/** A flow opened whose first packet was sent straight at `sent_at`. */
void evidence_reach_opened(struct evidence *ev, uint64_t now,
                           const struct upstream *upstream, uint64_t sent_at);
/** Says whether new flows keep away from a hall. */
bool evidence_is_avoided(const struct evidence *ev, uint64_t now,
                         uint32_t hall);
/** An upstream left a packet unanswered. */
void evidence_reach_missed(struct evidence *ev, uint64_t now,
                           const struct upstream *upstream);

/* evidence-liveness.c */
/** Says whether what was sent of a flow has left this node so long ago that
 * its upstream's answer could be here. */
bool evidence_has_left(const struct evidence_flow *flow, uint64_t now);
/** Upstream of a flow; NULL when its record is gone, or another start of it
 * runs. */
struct upstream *evidence_upstream_of(const struct evidence *ev,
                                      const struct evidence_flow *flow);
/** Ends the work that a flow is thought to cause. */
void evidence_set_idle(struct evidence *ev, struct evidence_flow *flow);
/** Notes what a packet tells of the work and the life of its upstream. */
void evidence_learn(struct evidence *ev, uint64_t now,
                    const struct evidence_packet *packet,
                    struct evidence_flow *flow, struct upstream *upstream);
/** How many times as long as usual an upstream takes, 1 when that is not
 * known. */
uint32_t evidence_slowness(const struct evidence *ev, uint64_t now,
                           const struct upstream *upstream);
/** Says whether a flow's upstream is lost, so that its caller should not wait
 * for it any longer. */
bool evidence_is_lost(const struct evidence *ev, uint64_t now,
                      const struct evidence_flow *flow,
                      const struct upstream *upstream);
/** Forgets a flow that ended, once its last copies have passed. */
void evidence_forget(struct evidence *ev, uint64_t now,
                     struct evidence_flow *flow);

#endif
