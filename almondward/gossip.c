#include "gossip.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

/* A request takes some hundred milliseconds; news must be much younger. */
#define INTERVAL_MS 40
/* With many instances each tells the others less often, which bounds the
 * datagrams a second of one instance to 1000 / INTERVAL_PER_PEER_MS. */
#define INTERVAL_PER_PEER_MS 10
/* Without a change the same is told again, for receivers that missed it. */
#define REPEAT_MS 250
/* Up to so many instances all are told, else only those of the region. */
#define TELL_ALL_MAX 16
#define ENTRIES_MAX 128

struct gossip {
	struct gossip_settings settings;
	struct clk *clk;
	struct loop_udp *udp;
	uint64_t sequence;
	uint64_t sent_ms;
	struct steer_count last[ENTRIES_MAX];
	size_t nr_last;
	uint64_t last_ms; /* when it was told */
	struct ctr *sent;
	struct ctr *received;
	struct ctr *malformed;
};

static void on_datagram(void *arg, const uint8_t *data, size_t len_bytes)
{
	struct gossip *gossip = arg;
	Aw__Loads *loads = aw__loads__unpack(NULL, len_bytes, data);
	struct steer_count counts[ENTRIES_MAX];
	size_t i, nr;

	if (!loads || loads->n_servers != loads->n_running ||
	    loads->n_servers > ENTRIES_MAX || !*loads->instance ||
	    strlen(loads->instance) >= NAME_BYTES_MAX) {
		ctr_add(gossip->malformed, 1);
		if (loads)
			aw__loads__free_unpacked(loads, NULL);
		return;
	}
	nr = loads->n_servers;
	for (i = 0; i < nr; i++) {
		counts[i].server = loads->servers[i];
		counts[i].running = loads->running[i];
	}
	ctr_add(gossip->received, 1);
	if (strcmp(loads->instance, gossip->settings.name) != 0)
		steer_peer_counts(gossip->settings.steer, loads->instance,
				  loads->incarnation, loads->sequence, counts,
				  nr);
	aw__loads__free_unpacked(loads, NULL);
}

struct gossip *gossip_create(const struct gossip_settings *settings)
{
	struct gossip *gossip = calloc(1, sizeof(*gossip));

	if (!gossip)
		return NULL;
	gossip->settings = *settings;
	gossip->clk = loop_clock(settings->loop);
	gossip->sent = ctr_get(settings->counters, "gossip_sent", "");
	gossip->received = ctr_get(settings->counters, "gossip_received", "");
	gossip->malformed = ctr_get(settings->counters, "gossip_malformed", "");
	if (!loop_udp_create(settings->loop, settings->address, on_datagram,
			     gossip, &gossip->udp))
		return gossip;
	free(gossip);
	return NULL;
}

void gossip_destroy(struct gossip *gossip)
{
	if (!gossip)
		return;
	loop_udp_destroy(gossip->udp);
	free(gossip);
}

static bool is_told(const struct gossip *gossip, const Aw__Instance *instance,
		    bool tell_all, const char *region)
{
	if (!strcmp(instance->name, gossip->settings.name))
		return false;
	return tell_all ||
	       !strcmp(set_region(gossip->settings.cluster, instance->zone),
		       region);
}

static void send_all(struct gossip *gossip, const uint8_t *data,
		     size_t len_bytes, const Aw__Instance *const *instances,
		     size_t nr)
{
	const struct set_cluster *cluster = gossip->settings.cluster;
	char address[ADDRESS_BYTES_MAX];
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!strchr(instances[i]->address, ':') ||
		    !is_told(gossip, instances[i], nr <= TELL_ALL_MAX,
			     cluster->region))
			continue;
		set_peer_address(cluster, instances[i]->address, address);
		/* A datagram that is not sent is made up for by the next. */
		if (!loop_udp_send(gossip->udp, address, data, len_bytes))
			ctr_add(gossip->sent, 1);
	}
}

static void tell(struct gossip *gossip, const struct steer_count *counts,
		 size_t nr, const Aw__Instance *const *instances,
		 size_t nr_instances)
{
	uint32_t servers[ENTRIES_MAX], running[ENTRIES_MAX];
	uint8_t data[LOOP_DATAGRAM_BYTES_MAX];
	Aw__Loads loads = AW__LOADS__INIT;
	size_t i;

	for (i = 0; i < nr; i++) {
		servers[i] = counts[i].server;
		running[i] = counts[i].running;
	}
	loads.instance = (char *)gossip->settings.name;
	loads.incarnation = gossip->settings.incarnation;
	loads.sequence = ++gossip->sequence;
	loads.servers = servers;
	loads.n_servers = nr;
	loads.running = running;
	loads.n_running = nr;
	if (aw__loads__get_packed_size(&loads) <= sizeof(data))
		send_all(gossip, data, aw__loads__pack(&loads, data), instances,
			 nr_instances);
}

static size_t nr_told(const struct gossip *gossip,
		      const Aw__Instance *const *instances, size_t nr)
{
	size_t i, told = 0;

	for (i = 0; i < nr; i++)
		told += is_told(gossip, instances[i], nr <= TELL_ALL_MAX,
				gossip->settings.cluster->region);
	return told;
}

void gossip_tick(struct gossip *gossip)
{
	struct steer_count counts[ENTRIES_MAX];
	const Aw__Instance *const *instances;
	uint64_t now_ms = clk_now_ms(gossip->clk), interval_ms;
	size_t nr_instances, nr;

	instances = topo_instances(gossip->settings.topo, &nr_instances);
	interval_ms =
		nr_told(gossip, instances, nr_instances) * INTERVAL_PER_PEER_MS;
	if (interval_ms < INTERVAL_MS)
		interval_ms = INTERVAL_MS;
	if (now_ms < gossip->sent_ms + interval_ms)
		return;
	nr = steer_counts(gossip->settings.steer, counts, ENTRIES_MAX);
	if (nr == gossip->nr_last && now_ms < gossip->last_ms + REPEAT_MS &&
	    !memcmp(counts, gossip->last, nr * sizeof(*counts)))
		return;
	gossip->sent_ms = now_ms;
	gossip->last_ms = now_ms;
	gossip->nr_last = nr;
	memcpy(gossip->last, counts, nr * sizeof(*counts));
	tell(gossip, counts, nr, instances, nr_instances);
}
