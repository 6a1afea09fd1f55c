#include "counter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define KEY_BYTES_MAX 128

struct ctr {
	char key[KEY_BYTES_MAX]; /* name{label}, or only the name */
	uint64_t value;
	UT_hash_handle hh;
};

struct ctr_set {
	struct ctr *by_key;
};

struct ctr_set *ctr_set_create(void)
{
	return calloc(1, sizeof(struct ctr_set));
}

void ctr_set_destroy(struct ctr_set *set)
{
	struct ctr *ctr, *next;

	if (!set)
		return;
	HASH_ITER(hh, set->by_key, ctr, next)
	{
		HASH_DEL(set->by_key, ctr);
		free(ctr);
	}
	free(set);
}

struct ctr *ctr_get(struct ctr_set *set, const char *name, const char *label)
{
	char key[KEY_BYTES_MAX];
	struct ctr *ctr;

	if (*label)
		snprintf(key, sizeof(key), "%s{%s}", name, label);
	else
		snprintf(key, sizeof(key), "%s", name);
	HASH_FIND_STR(set->by_key, key, ctr);
	if (ctr)
		return ctr;
	ctr = calloc(1, sizeof(*ctr));
	if (!ctr)
		return NULL;
	memcpy(ctr->key, key, sizeof(key));
	HASH_ADD_STR(set->by_key, key, ctr);
	return ctr;
}

void ctr_add(struct ctr *ctr, uint64_t n)
{
	if (ctr)
		ctr->value += n;
}

uint64_t ctr_value(const struct ctr *ctr)
{
	return ctr ? ctr->value : 0;
}

void ctr_set_value(struct ctr *ctr, uint64_t value)
{
	if (ctr)
		ctr->value = value;
}

static int compare_keys(const struct ctr *a, const struct ctr *b)
{
	return strcmp(a->key, b->key);
}

int ctr_format(struct ctr_set *set, struct buf *out)
{
	struct ctr *ctr, *next;

	HASH_SORT(set->by_key, compare_keys);
	HASH_ITER(hh, set->by_key, ctr, next)
	{
		if (buf_printf(out, "%s %llu\n", ctr->key,
			       (unsigned long long)ctr->value))
			return -1;
	}
	return 0;
}
