#include "alloc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define MICRO 1000000 /* levels are in millionths of a token */
#define BUCKET_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 4)
#define LINK_BURST_MS 250
#define LINK_MILLI_BYTES_PER_KBIT 118750 /* 95% of 125 bytes */

/*
 * Time for which tokens are reserved for an instance with unmet demand. An
 * instance that still waits reports again within REPORT_INTERVAL_MS.
 */
#define RESERVATION_MS (REPORT_INTERVAL_MS + 100)

struct holder;

/* Tokens of one bucket that one Grant gave to one instance. */
struct token_grant {
	uint64_t sequence;
	struct holder *holder; /* NULL: granted by the previous leader */
	uint64_t granted;
	uint64_t used;
	uint64_t returned;
	uint64_t expires_ms;
	struct token_grant *prev, *next; /* by expiry */
	UT_hash_handle hh;
};

struct holder_key {
	uint64_t incarnation;
	char name[NAME_BYTES_MAX];
};

/* One process of an entry instance. */
struct holder {
	struct holder_key key;
	struct token_grant *grants; /* by sequence */
	uint64_t wanted; /* unmet demand */
	uint64_t ticket; /* place in the queue of waiting holders */
	uint64_t wanted_ms; /* when the demand was last reported */
	uint64_t last_report_ms;
	UT_hash_handle hh;
};

struct bucket {
	char key[BUCKET_NAME_BYTES_MAX]; /* 'l' or 'c' for the kind, name */
	bool marked; /* set since the last sweep */
	uint64_t rate_milli_per_s; /* equals millionths of a token per ms */
	uint64_t burst;
	uint64_t level_micro;
	/* Time up to which it is refilled; in the future: no refill before. */
	uint64_t refilled_ms;
	uint64_t outstanding;
	struct token_grant *by_expiry; /* the first to expire comes first */
	struct holder *holders;
	UT_hash_handle hh;
};

struct alloc_tokens {
	struct clk *clk;
	uint64_t term;
	uint64_t next_ticket;
	struct bucket *buckets;
};

struct alloc_tokens *alloc_tokens_create(struct clk *clk, uint64_t term)
{
	struct alloc_tokens *tokens = calloc(1, sizeof(*tokens));

	if (!tokens)
		return NULL;
	tokens->clk = clk;
	tokens->term = term;
	return tokens;
}

static void remove_grant(struct bucket *bucket, struct token_grant *grant)
{
	DL_DELETE(bucket->by_expiry, grant);
	if (grant->holder)
		HASH_DEL(grant->holder->grants, grant);
	free(grant);
}

static void destroy_bucket(struct alloc_tokens *tokens, struct bucket *bucket)
{
	struct holder *holder;

	while (bucket->by_expiry)
		remove_grant(bucket, bucket->by_expiry);
	while ((holder = bucket->holders)) {
		HASH_DEL(bucket->holders, holder);
		free(holder);
	}
	HASH_DEL(tokens->buckets, bucket);
	free(bucket);
}

void alloc_tokens_destroy(struct alloc_tokens *tokens)
{
	struct bucket *bucket;

	if (!tokens)
		return;
	while ((bucket = tokens->buckets))
		destroy_bucket(tokens, bucket);
	free(tokens);
}

static void bucket_key(char *key, Aw__BucketKind kind, const char *name)
{
	snprintf(key, BUCKET_NAME_BYTES_MAX, "%c%s",
		 kind == AW__BUCKET_KIND__BUCKET_LINK ? 'l' : 'c', name);
}

static struct bucket *find_bucket(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name)
{
	char key[BUCKET_NAME_BYTES_MAX];
	struct bucket *bucket;

	bucket_key(key, kind, name);
	HASH_FIND_STR(tokens->buckets, key, bucket);
	return bucket;
}

/*
 * Returns the highest allowed level: the level and the outstanding tokens
 * together must not exceed the burst.
 */
static uint64_t max_level_micro(const struct bucket *bucket)
{
	if (bucket->outstanding >= bucket->burst)
		return 0;
	return (bucket->burst - bucket->outstanding) * MICRO;
}

static uint64_t level_after(uint64_t level_micro, uint64_t rate,
			    uint64_t elapsed_ms, uint64_t max_micro)
{
	uint64_t missing;

	if (level_micro >= max_micro || !rate)
		return level_micro;
	missing = max_micro - level_micro;
	if (elapsed_ms > missing / rate)
		return max_micro;
	return level_micro + rate * elapsed_ms;
}

static void refill_until(struct bucket *bucket, uint64_t now_ms)
{
	if (now_ms <= bucket->refilled_ms)
		return;
	bucket->level_micro = level_after(
		bucket->level_micro, bucket->rate_milli_per_s,
		now_ms - bucket->refilled_ms, max_level_micro(bucket));
	bucket->refilled_ms = now_ms;
}

/*
 * Refills the bucket up to now_ms. Expired tokens count as used: they are no
 * longer outstanding, but do not return to the bucket.
 */
static void refill(struct bucket *bucket, uint64_t now_ms)
{
	struct token_grant *grant;

	while ((grant = bucket->by_expiry) && grant->expires_ms <= now_ms) {
		refill_until(bucket, grant->expires_ms);
		bucket->outstanding -=
			grant->granted - grant->used - grant->returned;
		remove_grant(bucket, grant);
	}
	refill_until(bucket, now_ms);
}

enum alloc_error alloc_tokens_set(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name,
				  uint64_t rate_milli_per_s, uint64_t burst)
{
	uint64_t now_ms = clk_now_ms(tokens->clk);
	struct bucket *bucket = find_bucket(tokens, kind, name);

	if (!bucket) {
		bucket = calloc(1, sizeof(*bucket));
		if (!bucket)
			return ALLOC_ERR_MEMORY;
		bucket_key(bucket->key, kind, name);
		bucket->refilled_ms = now_ms + TOKEN_LIFETIME_MS;
		HASH_ADD_STR(tokens->buckets, key, bucket);
	}
	refill(bucket, now_ms);
	bucket->marked = true;
	bucket->rate_milli_per_s = rate_milli_per_s;
	bucket->burst = burst;
	if (bucket->level_micro > max_level_micro(bucket))
		bucket->level_micro = max_level_micro(bucket);
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_set_link(struct alloc_tokens *tokens,
				       const char *from_region,
				       const char *to_region,
				       uint32_t cap_kbit_per_s)
{
	uint64_t rate = (uint64_t)cap_kbit_per_s * LINK_MILLI_BYTES_PER_KBIT;
	char name[2 * NAME_BYTES_MAX + 2];

	snprintf(name, sizeof(name), "%s>%s", from_region, to_region);
	return alloc_tokens_set(tokens, AW__BUCKET_KIND__BUCKET_LINK, name,
				rate, rate * LINK_BURST_MS / MICRO);
}

void alloc_tokens_sweep(struct alloc_tokens *tokens)
{
	struct bucket *bucket, *next;

	HASH_ITER(hh, tokens->buckets, bucket, next)
	{
		if (!bucket->marked)
			destroy_bucket(tokens, bucket);
		else
			bucket->marked = false;
	}
}

static struct holder *get_holder(struct bucket *bucket,
				 const Aw__Report *report)
{
	struct holder_key key = { .incarnation = report->instance_incarnation };
	struct holder *holder;

	snprintf(key.name, sizeof(key.name), "%s", report->instance->name);
	HASH_FIND(hh, bucket->holders, &key, sizeof(key), holder);
	if (holder)
		return holder;
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		return NULL;
	holder->key = key;
	HASH_ADD(hh, bucket->holders, key, sizeof(holder->key), holder);
	return holder;
}

/*
 * Drops holders that have not reported for TOMBSTONE_MS, such as processes that
 * have exited. Their grants have expired long before.
 */
static void drop_stale_holders(struct bucket *bucket, uint64_t now_ms)
{
	struct holder *holder, *next;

	HASH_ITER(hh, bucket->holders, holder, next)
	{
		if (holder->last_report_ms + TOMBSTONE_MS >= now_ms)
			continue;
		HASH_DEL(bucket->holders, holder);
		free(holder);
	}
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static struct token_grant *find_grant(const struct holder *holder,
				      uint64_t sequence)
{
	struct token_grant *grant;

	HASH_FIND(hh, holder->grants, &sequence, sizeof(sequence), grant);
	return grant;
}

static void record_use(struct alloc_tokens *tokens, struct bucket *bucket,
		       const struct holder *holder, const Aw__TokenUse *use)
{
	struct token_grant *grant;
	uint64_t remaining, more;

	if (use->term != tokens->term)
		return;
	grant = find_grant(holder, use->sequence);
	if (!grant)
		return;
	remaining = grant->granted - grant->used - grant->returned;
	if (use->used > grant->used) {
		more = min_u64(use->used - grant->used, remaining);
		grant->used += more;
		bucket->outstanding -= more;
		remaining -= more;
	}
	if (use->returned > grant->returned) {
		more = min_u64(use->returned - grant->returned, remaining);
		grant->returned += more;
		bucket->outstanding -= more;
		remaining -= more;
		/* The burst may have become smaller since the grant. */
		bucket->level_micro =
			min_u64(bucket->level_micro + more * MICRO,
				max_level_micro(bucket));
	}
	if (!remaining)
		remove_grant(bucket, grant);
}

static bool is_waiting(const struct holder *holder, uint64_t now_ms)
{
	return holder->wanted && holder->wanted_ms + RESERVATION_MS > now_ms;
}

/*
 * Returns a part of the available tokens in proportion to the wanted ones, but
 * at least one, so that the first in the queue always gets a token.
 */
static uint64_t proportional_share(uint64_t available, uint64_t wanted,
				   uint64_t total)
{
	uint64_t tokens = available * wanted / total;

	return tokens ? tokens : 1;
}

/*
 * Returns the number of tokens to grant to a holder, at most as many as it
 * wants. The shares of holders that have waited longer are reserved for them.
 */
static uint64_t tokens_to_grant(const struct bucket *bucket,
				const struct holder *holder, uint64_t now_ms)
{
	uint64_t available = bucket->level_micro / MICRO;
	uint64_t total = holder->wanted, reserved = 0, own_share;
	const struct holder *other;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && is_waiting(other, now_ms))
			total += other->wanted;
	if (total <= available)
		return holder->wanted;
	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && is_waiting(other, now_ms) &&
		    other->ticket < holder->ticket)
			reserved += min_u64(
				other->wanted,
				proportional_share(available, other->wanted,
						   total));
	if (reserved >= available)
		return 0;
	own_share = proportional_share(available, holder->wanted, total);
	return min_u64(min_u64(holder->wanted, own_share),
		       available - reserved);
}

/*
 * Returns the time when the reservations of all holders that have waited longer
 * have expired, so that their tokens can be granted to others.
 */
static uint64_t reservations_end_ms(const struct bucket *bucket,
				    const struct holder *holder,
				    uint64_t now_ms)
{
	const struct holder *other;
	uint64_t end_ms = now_ms + 1;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && is_waiting(other, now_ms) &&
		    other->ticket < holder->ticket &&
		    other->wanted_ms + RESERVATION_MS > end_ms)
			end_ms = other->wanted_ms + RESERVATION_MS;
	return end_ms;
}

/*
 * Returns the time until the bucket contains one token for this holder and one
 * for each holder that has waited longer. Assumes that outstanding tokens are
 * not reported as used or returned before they expire.
 */
static uint32_t retry_after_ms(const struct bucket *bucket,
			       const struct holder *holder, uint64_t now_ms)
{
	uint64_t rate = bucket->rate_milli_per_s;
	uint64_t level = bucket->level_micro, needed = 1;
	uint64_t at_ms = bucket->refilled_ms > now_ms ? bucket->refilled_ms :
							now_ms;
	const struct token_grant *grant = bucket->by_expiry;
	struct bucket simulated = *bucket;
	const struct holder *other;
	uint64_t wait_ms;

	for (other = bucket->holders; other; other = other->hh.next)
		if (other != holder && is_waiting(other, now_ms) &&
		    other->ticket < holder->ticket)
			needed++;
	needed = min_u64(needed, bucket->burst) * MICRO;
	if (!rate || !needed)
		return ALLOC_RETRY_MAX_MS;
	if (needed <= level)
		return (uint32_t)(reservations_end_ms(bucket, holder, now_ms) -
				  now_ms);
	for (;; grant = grant->next) {
		if (needed <= level)
			break;
		if (needed <= max_level_micro(&simulated)) {
			wait_ms = (needed - level + rate - 1) / rate;
			if (!grant || at_ms + wait_ms <= grant->expires_ms) {
				at_ms += wait_ms;
				break;
			}
		}
		if (!grant)
			return ALLOC_RETRY_MAX_MS;
		if (grant->expires_ms > at_ms) {
			level = level_after(level, rate,
					    grant->expires_ms - at_ms,
					    max_level_micro(&simulated));
			at_ms = grant->expires_ms;
		}
		simulated.outstanding -=
			grant->granted - grant->used - grant->returned;
	}
	wait_ms = at_ms > now_ms ? at_ms - now_ms : 1;
	return (uint32_t)min_u64(wait_ms, ALLOC_RETRY_MAX_MS);
}

static enum alloc_error record_grant(struct bucket *bucket,
				     struct holder *holder, uint64_t sequence,
				     uint64_t granted, uint64_t now_ms)
{
	struct token_grant *grant = calloc(1, sizeof(*grant));

	if (!grant)
		return ALLOC_ERR_MEMORY;
	grant->sequence = sequence;
	grant->holder = holder;
	grant->granted = granted;
	grant->expires_ms = now_ms + TOKEN_LIFETIME_MS;
	DL_APPEND(bucket->by_expiry, grant);
	HASH_ADD(hh, holder->grants, sequence, sizeof(grant->sequence), grant);
	bucket->level_micro -= granted * MICRO;
	bucket->outstanding += granted;
	return ALLOC_OK;
}

static enum alloc_error process_token_report(
	struct alloc_tokens *tokens, struct bucket *bucket,
	const Aw__Report *report, const Aw__TokenReport *token_report,
	Aw__TokenGrant *out)
{
	uint64_t now_ms = clk_now_ms(tokens->clk), granted;
	struct holder *holder;
	size_t i;

	refill(bucket, now_ms);
	drop_stale_holders(bucket, now_ms);
	holder = get_holder(bucket, report);
	if (!holder)
		return ALLOC_ERR_MEMORY;
	holder->last_report_ms = now_ms;
	for (i = 0; i < token_report->n_uses; i++)
		record_use(tokens, bucket, holder, token_report->uses[i]);
	if (!token_report->wanted) {
		holder->wanted = 0;
		return ALLOC_OK;
	}
	/* A Report that contains a bucket twice gets only one grant from it. */
	if (find_grant(holder, report->sequence))
		return ALLOC_OK;
	if (!is_waiting(holder, now_ms))
		holder->ticket = ++tokens->next_ticket;
	holder->wanted = min_u64(token_report->wanted, bucket->burst);
	holder->wanted_ms = now_ms;
	granted = holder->wanted ? tokens_to_grant(bucket, holder, now_ms) : 0;
	if (!granted) {
		out->retry_after_ms = retry_after_ms(bucket, holder, now_ms);
		return ALLOC_OK;
	}
	if (record_grant(bucket, holder, report->sequence, granted, now_ms))
		return ALLOC_ERR_MEMORY;
	holder->wanted -= granted;
	holder->ticket = ++tokens->next_ticket;
	out->tokens = granted;
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_report(struct alloc_tokens *tokens,
				     const Aw__Report *report,
				     Aw__TokenGrant *grants)
{
	struct bucket *bucket;
	size_t i;

	for (i = 0; i < report->n_tokens; i++) {
		const Aw__TokenReport *token_report = report->tokens[i];
		Aw__TokenGrant *out = &grants[i];

		aw__token_grant__init(out);
		out->kind = token_report->kind;
		out->name = token_report->name;
		bucket = find_bucket(tokens, token_report->kind,
				     token_report->name);
		if (!bucket) {
			if (token_report->wanted)
				out->retry_after_ms = ALLOC_RETRY_MAX_MS;
			continue;
		}
		if (process_token_report(tokens, bucket, report, token_report,
					 out))
			return ALLOC_ERR_MEMORY;
	}
	return ALLOC_OK;
}

void alloc_tokens_level(struct alloc_tokens *tokens, Aw__BucketKind kind,
			const char *name, uint64_t *level,
			uint64_t *outstanding)
{
	struct bucket *bucket = find_bucket(tokens, kind, name);

	*level = 0;
	*outstanding = 0;
	if (!bucket)
		return;
	refill(bucket, clk_now_ms(tokens->clk));
	*level = bucket->level_micro / MICRO;
	*outstanding = bucket->outstanding;
}

/* ---- handover at a planned change of leader ---- */

static size_t count_grants(const struct bucket *bucket)
{
	const struct token_grant *grant;
	size_t nr = 0;

	DL_FOREACH(bucket->by_expiry, grant)
	{
		nr++;
	}
	return nr;
}

static void save_rests(const struct bucket *bucket, uint64_t now_ms,
		       Aw__TokenRest *rests, Aw__TokenRest **list)
{
	const struct token_grant *grant;
	size_t i = 0;

	DL_FOREACH(bucket->by_expiry, grant)
	{
		aw__token_rest__init(&rests[i]);
		rests[i].tokens =
			grant->granted - grant->used - grant->returned;
		rests[i].left_ms = (uint32_t)(grant->expires_ms - now_ms);
		list[i] = &rests[i];
		i++;
	}
}

/*
 * Appends one bucket as a separate Handover. Protocol Buffers messages of one
 * type may be concatenated; this concatenates their lists.
 */
static enum alloc_error save_bucket(struct bucket *bucket, uint64_t now_ms,
				    struct buf *out)
{
	Aw__Handover handover = AW__HANDOVER__INIT;
	Aw__TokenBucket saved = AW__TOKEN_BUCKET__INIT, *list[] = { &saved };
	enum alloc_error error = ALLOC_ERR_MEMORY;
	Aw__TokenRest *rests;
	size_t len_bytes;

	refill(bucket, now_ms);
	saved.kind = bucket->key[0] == 'l' ? AW__BUCKET_KIND__BUCKET_LINK :
					     AW__BUCKET_KIND__BUCKET_CUSTOMER;
	saved.name = bucket->key + 1;
	saved.rate_milli_per_s = bucket->rate_milli_per_s;
	saved.burst = bucket->burst;
	saved.level_micro = bucket->level_micro;
	if (bucket->refilled_ms > now_ms)
		saved.refill_wait_ms = (uint32_t)(bucket->refilled_ms - now_ms);
	saved.n_rests = count_grants(bucket);
	rests = calloc(saved.n_rests + 1, sizeof(*rests));
	saved.rests = calloc(saved.n_rests + 1, sizeof(void *));
	if (!rests || !saved.rests)
		goto out;
	save_rests(bucket, now_ms, rests, saved.rests);
	handover.buckets = list;
	handover.n_buckets = 1;
	len_bytes = aw__handover__get_packed_size(&handover);
	if (buf_reserve(out, len_bytes))
		goto out;
	out->len_bytes +=
		aw__handover__pack(&handover, out->data + out->len_bytes);
	error = ALLOC_OK;
out:
	free(rests);
	free(saved.rests);
	return error;
}

enum alloc_error alloc_tokens_save(struct alloc_tokens *tokens, struct buf *out)
{
	uint64_t now_ms = clk_now_ms(tokens->clk);
	struct bucket *bucket;

	for (bucket = tokens->buckets; bucket; bucket = bucket->hh.next)
		if (save_bucket(bucket, now_ms, out))
			return ALLOC_ERR_MEMORY;
	return ALLOC_OK;
}

/*
 * Adds a grant of the previous leader. It has no holder: its use cannot be
 * reported to this leader, so its tokens stay outstanding until they expire.
 */
static enum alloc_error restore_rest(struct bucket *bucket,
				     const Aw__TokenRest *rest,
				     uint64_t received_ms)
{
	struct token_grant *grant = calloc(1, sizeof(*grant));

	if (!grant)
		return ALLOC_ERR_MEMORY;
	grant->granted = rest->tokens;
	grant->expires_ms =
		received_ms + min_u64(rest->left_ms, TOKEN_LIFETIME_MS);
	if (bucket->by_expiry &&
	    bucket->by_expiry->prev->expires_ms > grant->expires_ms)
		grant->expires_ms = bucket->by_expiry->prev->expires_ms;
	DL_APPEND(bucket->by_expiry, grant);
	bucket->outstanding += rest->tokens;
	return ALLOC_OK;
}

static enum alloc_error restore_bucket(struct alloc_tokens *tokens,
				       const Aw__TokenBucket *saved,
				       uint64_t received_ms)
{
	struct bucket *bucket;
	size_t i;

	if (find_bucket(tokens, saved->kind, saved->name))
		return ALLOC_OK;
	bucket = calloc(1, sizeof(*bucket));
	if (!bucket)
		return ALLOC_ERR_MEMORY;
	bucket_key(bucket->key, saved->kind, saved->name);
	HASH_ADD_STR(tokens->buckets, key, bucket);
	bucket->rate_milli_per_s = saved->rate_milli_per_s;
	bucket->burst = saved->burst;
	bucket->refilled_ms = received_ms + saved->refill_wait_ms;
	for (i = 0; i < saved->n_rests; i++)
		if (restore_rest(bucket, saved->rests[i], received_ms))
			return ALLOC_ERR_MEMORY;
	bucket->level_micro =
		min_u64(saved->level_micro, max_level_micro(bucket));
	return ALLOC_OK;
}

enum alloc_error alloc_tokens_restore(struct alloc_tokens *tokens,
				      const uint8_t *data, size_t len_bytes,
				      uint64_t received_ms)
{
	Aw__Handover *handover = aw__handover__unpack(NULL, len_bytes, data);
	enum alloc_error err = ALLOC_OK;
	size_t i;

	if (!handover)
		return ALLOC_ERR_MALFORMED;
	for (i = 0; i < handover->n_buckets && !err; i++)
		err = restore_bucket(tokens, handover->buckets[i], received_ms);
	aw__handover__free_unpacked(handover, NULL);
	return err;
}
