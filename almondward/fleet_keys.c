#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

static Aw__Key *find_key(const struct fleet *fleet, const char *id)
{
	for (size_t i = 0; i < fleet->nr_keys; i++)
		if (!strcmp(fleet->keys[i]->id, id))
			return fleet->keys[i];
	return NULL;
}

static const Aw__Key *find_key_by_hash(const struct fleet *fleet,
				       const ProtobufCBinaryData *hash)
{
	for (size_t i = 0; i < fleet->nr_keys; i++)
		if (!memcmp(fleet->keys[i]->hash.data, hash->data, HASH_BYTES))
			return fleet->keys[i];
	return NULL;
}

static bool customer_exists(const Aw__Config *config, const char *name)
{
	for (size_t i = 0; i < config->n_customers; i++)
		if (!strcmp(config->customers[i]->name, name))
			return true;
	return false;
}

const Aw__Key *fleet_key_without_customer(const struct fleet *fleet,
					  const Aw__Config *config)
{
	for (size_t i = 0; i < fleet->nr_keys; i++)
		if (!fleet->keys[i]->withdrawn &&
		    !customer_exists(config, fleet->keys[i]->customer))
			return fleet->keys[i];
	return NULL;
}

static const char *check_key(const Aw__Key *key)
{
	if (!fleet_is_valid_id(key->id, NAME_BYTES_MAX))
		return "the key id is empty, too long or has spaces";
	if (!fleet_is_valid_id(key->customer, NAME_BYTES_MAX))
		return "the customer of the key is missing";
	if (key->hash.len != HASH_BYTES)
		return "the key hash is not 32 bytes long";
	return NULL;
}

enum fleet_error fleet_key_grant(struct fleet *fleet, uint64_t index,
				 const Aw__OpKeyGrant *op, Aw__OpResult *result)
{
	const char *cause = op->key ? check_key(op->key) : "the key is missing";
	Aw__Key **list;
	Aw__Key *key;

	if (cause)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					cause);
	if (!customer_exists(fleet->config, op->key->customer))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"customer \"%s\" does not exist",
					op->key->customer);
	if (find_key(fleet, op->key->id))
		return fleet_set_result(result, AW__OP_CODE__OP_EXISTS,
					"key \"%s\" exists already",
					op->key->id);
	/* Otherwise a withdrawn key could be granted again under another id. */
	if (find_key_by_hash(fleet, &op->key->hash))
		return fleet_set_result(
			result, AW__OP_CODE__OP_EXISTS,
			"the same key exists as \"%s\"",
			find_key_by_hash(fleet, &op->key->hash)->id);
	if (fleet->nr_keys >= FLEET_KEYS_MAX)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"there are %d keys already",
					FLEET_KEYS_MAX);
	key = message_copy(&op->key->base);
	if (!key)
		return FLEET_ERR_MEMORY;
	list = realloc(fleet->keys, (fleet->nr_keys + 1) * sizeof(Aw__Key *));
	if (!list) {
		message_free(key);
		return FLEET_ERR_MEMORY;
	}
	key->withdrawn = false;
	list[fleet->nr_keys++] = key;
	fleet->keys = list;
	fleet_record_operator_change(fleet, index);
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

enum fleet_error fleet_key_withdraw(struct fleet *fleet, uint64_t index,
				    const Aw__OpKeyWithdraw *op,
				    Aw__OpResult *result)
{
	Aw__Key *key = find_key(fleet, op->id);

	if (!key)
		return fleet_set_result(result, AW__OP_CODE__OP_NOT_FOUND,
					"key \"%s\" does not exist", op->id);
	if (key->withdrawn)
		return fleet_set_result(result, AW__OP_CODE__OP_DONE,
					"key \"%s\" was withdrawn before",
					op->id);
	key->withdrawn = true;
	fleet_record_operator_change(fleet, index);
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

bool fleet_keys_are_valid(Aw__Key *const *keys, size_t nr)
{
	if (nr > FLEET_KEYS_MAX)
		return false;
	for (size_t i = 0; i < nr; i++)
		if (check_key(keys[i]))
			return false;
	return true;
}
