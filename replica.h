/**
 * @file replica.h
 * One voter of a deployment where the highest version wins: consensus on the
 * routing tables that operators send and on which data halls they empty, reads
 * confirmed by a quorum, and who votes. Founds itself alone, takes other disks
 * in once they hold the log, and replaces voters that lost their disk or are
 * gone. Owns the log and the table held, reads of a table only its version,
 * and does no I/O: actions come back in the order in which they must be
 * carried out.
 *
 * A replica's number is its node's IPv4 address.
 */
#ifndef RIDGERIDGE_ORDER_H
#define RIDGERIDGE_ORDER_H

#include "cons.h"
#include "counter.h"
#include "hall.h"
#include "status.h"

#define ORDER_ANSWER_MS                                                       \
    900U /**< longest wait of an operator, who asks                           \
              another node after a second */
#define ORDER_FIRST_MS                                                        \
    250U                         /**< least time to a first election after a  \
                                      start: a leader is heard every 200 ms */
#define ORDER_FIRST_SPAN_MS 400U /**< random time added to it */
#define ORDER_REPLACE_MS                                                      \
    3000U /**< a voter unheard so long is replaced, if                        \
               another disk holds the log */
#define ORDER_FRESH_MS                                                        \
    1500U /**< a disk counts for more voters only when                        \
               it reported this lately */
#define ORDER_SHRINK_MS                                                       \
    10000U /**< a voter unheard so long that no disk can                      \
                replace is dropped */
#define ORDER_FORGET_MS                                                       \
    6000U /**< a disk that reports nothing so long is                         \
               not talked to, unless it votes */
#define ORDER_SETTLE_MS                                                       \
    2000U                 /**< after founding, disks have so long to          \
                               join before the first order is taken */
#define ORDER_COMPACT 64U /**< entries of the log before a snapshot */
#define ORDER_DISKS_MAX CONS_PEERS_MAX

/** What the shell must do. */
enum order_action_kind {
    ORDER_CONS,  /**< an action of consensus */
    ORDER_REPLY, /**< answer the operator who holds `token` */
    ORDER_APPLY  /**< a newer table or list of emptied halls is committed:
                      `order.routes`, `order.halls` */
};

/** One action. */
struct order_action {
    enum order_action_kind kind; /**< which of the following is set */
    struct cons_action cons;     /**< CONS */
    uint64_t token;              /**< REPLY */
    struct status status;        /**< REPLY */
    bool with_table;             /**< REPLY: to a read; send the table */
};

/** A disk of the deployment, as its node reported it. */
struct order_disk {
    uint32_t replica;  /**< address of its node */
    uint64_t identity; /**< of the disk */
    uint64_t heard_at; /**< last report */
};

/** An operator who waits. */
struct order_wait {
    uint64_t token;    /**< of the shell */
    bool read;         /**< waits for a round, not for an entry */
    uint64_t index;    /**< entry to be committed */
    uint64_t term;     /**< in which it was proposed */
    uint64_t round;    /**< to be confirmed */
    uint64_t deadline; /**< answered as unconfirmed then */
};

/** One voter, or one that learns. */
struct order {
    struct cons cons;                         /**< the log */
    GBytes *routes;                           /**< encoded wire_command of the
                                                   table held; NULL: none */
    uint64_t version;                         /**< of it */
    struct hall_set halls;                    /**< that are emptied */
    uint64_t applied;                         /**< entries applied */
    struct order_disk disks[ORDER_DISKS_MAX]; /**< that reported */
    size_t disk_count;                        /**< of disks */
    uint64_t founded_at;                      /**< here, 0: not here */
    uint64_t settled_at;                      /**< first leader of this run:
                                                   orders wait until then */
    uint64_t lead_term;                       /**< last term led here */
    GArray *waits;                            /**< struct order_wait */
    GArray *actions;                          /**< struct order_action */
    struct counters *counters;                /**< of the process */
};

/** Starts a replica; see cons_open(). A founder votes alone at first. */
void order_open(struct order *order, uint64_t now, uint32_t self,
                uint64_t identity, bool founder, uint64_t seed,
                struct cons_stored *stored, struct counters *counters);

/** Frees a replica. */
void order_close(struct order *order);

/** Notes that a node with a disk is alive. */
void order_hear(struct order *order, uint64_t now, uint32_t replica,
                uint64_t identity);

/** Lets time pass. */
void order_tick(struct order *order, uint64_t now);

/** Takes a message of another replica. */
void order_receive(struct order *order, uint64_t now, const wire_msg *msg);

/** An operator sends a table, which was checked. */
void order_submit(struct order *order, uint64_t now, uint64_t token,
                  const wire_routes *routes);

/**
 * An operator empties a hall or takes it back; STATUS_OK once that is stored
 * by a quorum. Each order is an entry of the log, also one that changes
 * nothing: only then is it sure that no later leader took it back.
 */
void order_submit_hall(struct order *order, uint64_t now, uint64_t token,
                       const struct hall_order *hall);

/** An operator asks; STATUS_OK means that a quorum confirmed the answer. */
void order_read(struct order *order, uint64_t now, uint64_t token);

/** Gives up leading, so that another voter takes over at once. */
void order_resign(struct order *order, uint64_t now);

/** Takes the actions. */
const struct order_action *order_actions(struct order *order, size_t *count);

/**
 * Lists the operators who are still owed an answer when a disk refused: those
 * who wait, and those whose answer stands among the actions from `from` on.
 * @return uint64_t tokens; free with g_array_free()
 */
GArray *order_unanswered(const struct order *order, size_t from);

/** Forgets the actions, after they were carried out. */
void order_clear(struct order *order);

/** Earliest time at which order_tick() has something to do. */
uint64_t order_deadline(const struct order *order);

#endif
