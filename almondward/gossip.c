#include "gossip.h"

#include <stdlib.h>
#include <string.h>

/* Short enough that all instances follow the demand of the region within two
 * seconds. */
#define INTERVAL_MS 500
/* With many instances each sends its report less often, which limits the
 * datagrams of one instance to 1000 / INTERVAL_PER_PEER_MS per second. */
#define INTERVAL_PER_PEER_MS 100
#define INTERVAL_MAX_MS (NEED_LIFETIME_MS * 2 / 5)

struct gossip {
	struct gossip_settings settings;
	struct clk *clk;
	struct loop_udp *udp;
	uint64_t sequence;
	uint64_t sent_ms;
	struct ctr *sent;
	struct ctr *sent_bytes;
	struct ctr *not_sent;
	struct ctr *received;
	struct ctr *malformed;
};

static bool receive_demand(const struct gossip *gossip, const Aw__Needs *needs)
{
	struct need_entry entries[NEED_UPSTREAMS_MAX];

	if (needs->n_upstreams != needs->n_running ||
	    needs->n_upstreams > NEED_UPSTREAMS_MAX || !*needs->instance ||
	    strlen(needs->instance) >= NAME_BYTES_MAX)
		return false;
	for (size_t i = 0; i < needs->n_upstreams; i++) {
		entries[i].upstream = needs->upstreams[i];
		entries[i].in_flight = needs->running[i];
	}
	if (strcmp(needs->instance, gossip->settings.name) != 0)
		steer_peer_demand(gossip->settings.steer, needs->instance,
				  needs->incarnation, needs->sequence, entries,
				  needs->n_upstreams);
	return true;
}

static void on_datagram(void *arg, const char *from, const uint8_t *data,
			size_t len_bytes)
{
	struct gossip *gossip = arg;
	Aw__Datagram *datagram = aw__datagram__unpack(NULL, len_bytes, data);
	bool valid = datagram != NULL;

	if (valid && datagram->body_case == AW__DATAGRAM__BODY_NEEDS)
		valid = receive_demand(gossip, datagram->needs);
	else if (valid)
		gossip->settings.datagram(gossip->settings.arg, from, datagram);
	ctr_add(valid ? gossip->received : gossip->malformed, 1);
	if (datagram)
		aw__datagram__free_unpacked(datagram, NULL);
}

struct gossip *gossip_create(const struct gossip_settings *settings)
{
	struct gossip *gossip = calloc(1, sizeof(*gossip));
	struct ctr_set *counters = settings->counters;

	if (!gossip)
		return NULL;
	gossip->settings = *settings;
	gossip->clk = loop_clock(settings->loop);
	gossip->sent = ctr_get(counters, "datagrams_sent", "");
	gossip->sent_bytes = ctr_get(counters, "datagram_bytes_sent", "");
	gossip->not_sent = ctr_get(counters, "datagrams_not_sent", "");
	gossip->received = ctr_get(counters, "datagrams_received", "");
	gossip->malformed = ctr_get(counters, "datagrams_malformed", "");
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

void gossip_send(struct gossip *gossip, const char *address,
		 const Aw__Datagram *datagram)
{
	uint8_t data[LOOP_DATAGRAM_BYTES_MAX];
	size_t len_bytes = aw__datagram__get_packed_size(datagram);

	if (len_bytes > sizeof(data) ||
	    loop_udp_send(gossip->udp, address, data,
			  aw__datagram__pack(datagram, data))) {
		ctr_add(gossip->not_sent, 1);
		return;
	}
	ctr_add(gossip->sent, 1);
	ctr_add(gossip->sent_bytes, len_bytes);
}

static bool is_recipient(const struct gossip *gossip,
			 const Aw__Instance *instance)
{
	const struct set_cluster *cluster = gossip->settings.cluster;

	return strcmp(instance->name, gossip->settings.name) != 0 &&
	       strchr(instance->address, ':') &&
	       !strcmp(set_region(cluster, instance->zone), cluster->region);
}

static void send_to_region(struct gossip *gossip, const Aw__Datagram *datagram,
			   const Aw__Instance *const *instances, size_t nr)
{
	char address[ADDRESS_BYTES_MAX];

	for (size_t i = 0; i < nr; i++) {
		if (!is_recipient(gossip, instances[i]))
			continue;
		set_peer_address(gossip->settings.cluster,
				 instances[i]->address, address);
		gossip_send(gossip, address, datagram);
	}
}

static void send_demand(struct gossip *gossip,
			const Aw__Instance *const *instances, size_t nr)
{
	uint32_t upstreams[NEED_UPSTREAMS_MAX], running[NEED_UPSTREAMS_MAX];
	struct need_entry entries[NEED_UPSTREAMS_MAX];
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__Needs needs = AW__NEEDS__INIT;

	needs.n_upstreams = steer_demand(gossip->settings.steer, entries,
					 NEED_UPSTREAMS_MAX);
	for (size_t i = 0; i < needs.n_upstreams; i++) {
		upstreams[i] = entries[i].upstream;
		running[i] = entries[i].in_flight;
	}
	needs.instance = (char *)gossip->settings.name;
	needs.incarnation = gossip->settings.incarnation;
	needs.sequence = ++gossip->sequence;
	needs.upstreams = upstreams;
	needs.running = running;
	needs.n_running = needs.n_upstreams;
	datagram.body_case = AW__DATAGRAM__BODY_NEEDS;
	datagram.needs = &needs;
	send_to_region(gossip, &datagram, instances, nr);
}

void gossip_tick(struct gossip *gossip)
{
	const Aw__Instance *const *instances;
	uint64_t now_ms = clk_now_ms(gossip->clk), interval_ms = 0;
	size_t nr;

	instances = topo_instances(gossip->settings.topo, &nr);
	for (size_t i = 0; i < nr; i++)
		if (is_recipient(gossip, instances[i]))
			interval_ms += INTERVAL_PER_PEER_MS;
	if (interval_ms < INTERVAL_MS)
		interval_ms = INTERVAL_MS;
	if (interval_ms > INTERVAL_MAX_MS)
		interval_ms = INTERVAL_MAX_MS;
	if (now_ms < gossip->sent_ms + interval_ms)
		return;
	gossip->sent_ms = now_ms;
	send_demand(gossip, instances, nr);
}
