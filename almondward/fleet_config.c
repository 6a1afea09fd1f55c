#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "fleet_state.h"

#define CAUSE_BYTES 512

/*
 * Checks a new configuration and replaces the current one by it. Takes
 * ownership of the new one and frees it if it is refused.
 */
static enum fleet_error replace_config(struct fleet *fleet, uint64_t index,
				       Aw__Config *config, Aw__OpResult *result)
{
	char cause[CAUSE_BYTES] = "";
	enum fleet_error error;
	const Aw__Key *key;
	enum cfg_error check_error = cfg_check(config, cause, sizeof(cause));

	if (check_error == CFG_ERR_MEMORY) {
		error = FLEET_ERR_MEMORY;
		goto fail;
	}
	if (check_error) {
		error = fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					 cause);
		goto fail;
	}
	key = fleet_key_without_customer(fleet, config);
	if (key) {
		error = fleet_set_result(
			result, AW__OP_CODE__OP_INVALID,
			"customer \"%s\" still has the key \"%s\"; "
			"withdraw it first",
			key->customer, key->id);
		goto fail;
	}
	config->version = fleet->config->version;
	message_free(fleet->config);
	fleet->config = config;
	fleet_record_operator_change(fleet, index);
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
fail:
	message_free(config);
	return error;
}

enum fleet_error fleet_config_replace(struct fleet *fleet, uint64_t index,
				      const Aw__OpConfig *op,
				      Aw__OpResult *result)
{
	Aw__Config *config;

	if (!op->config)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the configuration is missing");
	config = message_copy(&op->config->base);
	if (!config)
		return FLEET_ERR_MEMORY;
	return replace_config(fleet, index, config, result);
}

static size_t find_exception(const Aw__Config *config, const char *name)
{
	size_t i = 0;

	while (i < config->n_exceptions &&
	       strcmp(config->exceptions[i]->name, name) != 0)
		i++;
	return i;
}

enum fleet_error fleet_exception_add(struct fleet *fleet, uint64_t index,
				     const Aw__OpExceptionAdd *op,
				     Aw__OpResult *result)
{
	Aw__Config *config = NULL;
	Aw__Exception **list;
	Aw__Exception *exception;

	if (!op->exception ||
	    !fleet_is_valid_id(op->exception->name, NAME_BYTES_MAX))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the exception has no valid name");
	if (!op->exception->reason[0])
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"exception \"%s\" has no reason",
					op->exception->name);
	if (find_exception(fleet->config, op->exception->name) <
	    fleet->config->n_exceptions)
		return fleet_set_result(result, AW__OP_CODE__OP_EXISTS,
					"exception \"%s\" exists already",
					op->exception->name);
	config = message_copy(&fleet->config->base);
	exception = message_copy(&op->exception->base);
	if (!config || !exception)
		goto fail;
	list = realloc(config->exceptions,
		       (config->n_exceptions + 1) * sizeof(Aw__Exception *));
	if (!list)
		goto fail;
	list[config->n_exceptions++] = exception;
	config->exceptions = list;
	return replace_config(fleet, index, config, result);
fail:
	message_free(config);
	message_free(exception);
	return FLEET_ERR_MEMORY;
}

enum fleet_error fleet_exception_remove(struct fleet *fleet, uint64_t index,
					const Aw__OpExceptionRemove *op,
					Aw__OpResult *result)
{
	size_t at = find_exception(fleet->config, op->name);
	Aw__Config *config;

	if (!op->reason[0])
		return fleet_set_result(
			result, AW__OP_CODE__OP_INVALID,
			"the removal of exception \"%s\" has no "
			"reason",
			op->name);
	if (at == fleet->config->n_exceptions)
		return fleet_set_result(result, AW__OP_CODE__OP_NOT_FOUND,
					"exception \"%s\" does not exist",
					op->name);
	config = message_copy(&fleet->config->base);
	if (!config)
		return FLEET_ERR_MEMORY;
	message_free(config->exceptions[at]);
	config->n_exceptions--;
	for (; at < config->n_exceptions; at++)
		config->exceptions[at] = config->exceptions[at + 1];
	return replace_config(fleet, index, config, result);
}
