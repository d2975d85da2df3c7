/*
 * Upstreams that fail what they are sent, though they register as well: they
 * answer far sooner than their peers do for the same route, since they do not
 * do the work. This entry sees how soon, never what. Its word goes to the node
 * that hears the upstream; several such words make it sick.
 */
#include "evidence-internal.h"

#include "fault.h"

/* An answer comes too soon when it took less than one part in so many of what
 * is usual: with a spread of a half of the mean, as requests were described,
 * one of 30,000 does by chance. */
#define SOON_PARTS 6U
/* What is usual is known once so many answers of the route were seen. */
#define USUAL_COUNT 16U
/* Each moves it by a sixteenth of itself, up or down, to the median. */
#define USUAL_SHARE 16U
/* Answers that usually take less than this are not told apart from errors: the
 * way there and back takes some ms. */
#define USUAL_LEAST_US 20000U
/* Between two words about one upstream. */
#define TOLD_PAUSE_MS 200U

/* What is usual for a route; made when it is new. */
static struct evidence_usual *
usual_of(struct evidence *ev, const struct evidence_packet *packet)
{
    gpointer key = route_key(packet->destination, packet->destination_port);
    struct evidence_usual *usual = g_hash_table_lookup(ev->usual, key);

    if (usual == NULL) {
        usual = g_new0(struct evidence_usual, 1);
        g_hash_table_insert(ev->usual, key, usual);
    }
    return usual;
}

/* Moves what is usual. */
static void
move_usual(struct evidence_usual *usual, uint32_t took_us)
{
    if (usual->count == 0) {
        usual->us = took_us;
    }
    else if (took_us > usual->us) {
        usual->us += MAX(usual->us / USUAL_SHARE, 1U);
    }
    else {
        usual->us -= usual->us / USUAL_SHARE;
    }
    usual->count += usual->count < USUAL_COUNT;
}

/* An upstream answered data of a route. */
void
evidence_note_answer(struct evidence *ev, uint64_t now,
                     const struct evidence_packet *packet,
                     struct upstream *upstream, uint32_t took_us)
{
    struct evidence_usual *usual = usual_of(ev, packet);
    bool too_soon = usual->count >= USUAL_COUNT &&
                    usual->us >= USUAL_LEAST_US &&
                    took_us < usual->us / SOON_PARTS;

    move_usual(usual, took_us);
    if (too_soon && now >= upstream->too_soon_at && !fault_is(FAULT_NO_SICK)) {
        struct upstream_doubt word = {.id = upstream->id, .too_soon = true};

        upstream->too_soon_at = now + TOLD_PAUSE_MS;
        g_array_append_val(ev->upstreams->doubted, word);
    }
}
