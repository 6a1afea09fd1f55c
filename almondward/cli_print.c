#include "cli_internal.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 24
#define INDENT 2 /* spaces per level */

static char *scalar_text(const cJSON *value)
{
	if (!value || cJSON_IsNull(value))
		return strdup("-");
	if (cJSON_IsString(value))
		return strdup(*value->valuestring ? value->valuestring : "-");
	return cJSON_PrintUnformatted(value);
}

static char *list_text(const cJSON *list)
{
	struct buf text = BUF_INIT;
	const cJSON *item;
	char *item_text;

	cJSON_ArrayForEach(item, list)
	{
		item_text = scalar_text(item);
		buf_printf(&text, "%s%s", text.len_bytes ? ", " : "",
			   item_text ? item_text : "");
		free(item_text);
	}
	if (!list->child)
		buf_append_str(&text, "none");
	if (buf_append(&text, "", 1))
		buf_release(&text);
	return (char *)text.data;
}

/*
 * Returns the text of one cell, which the caller frees, or NULL when memory is
 * exhausted.
 */
static char *cell_text(const cJSON *value)
{
	char *pos, *text = cJSON_IsArray(value) ? list_text(value) :
						  scalar_text(value);

	/*
	 * Control characters from the network must not reach the terminal,
	 * where they could move the cursor.
	 */
	for (pos = text; pos && *pos; pos++) {
		if ((unsigned char)*pos < ' ' || *pos == 0x7f)
			*pos = '?';
	}
	return text;
}

static size_t cell_width(const cJSON *value)
{
	char *text = cell_text(value);
	size_t width = text ? strlen(text) : 0;

	free(text);
	return width;
}

static void print_cell(FILE *out, const cJSON *value, size_t width, bool last)
{
	char *text = cell_text(value);

	if (last)
		fprintf(out, "%s\n", text ? text : "");
	else
		fprintf(out, "%-*s  ", (int)width, text ? text : "");
	free(text);
}

struct table {
	const char *names[COLUMNS_MAX];
	size_t widths[COLUMNS_MAX];
	size_t nr;
};

static size_t table_column(struct table *table, const char *name)
{
	size_t i;

	for (i = 0; i < table->nr; i++) {
		if (!strcmp(table->names[i], name))
			return i;
	}
	if (i == COLUMNS_MAX)
		return i;
	table->names[i] = name;
	table->widths[i] = strlen(name);
	table->nr++;
	return i;
}

static void measure_table(struct table *table, const cJSON *rows)
{
	const cJSON *row, *cell;
	size_t i, width;

	cJSON_ArrayForEach(row, rows)
	{
		cJSON_ArrayForEach(cell, row)
		{
			i = table_column(table, cell->string);
			width = cell_width(cell);
			if (i < COLUMNS_MAX && width > table->widths[i])
				table->widths[i] = width;
		}
	}
}

static void print_table(FILE *out, const cJSON *rows, int indent)
{
	struct table table = { .nr = 0 };
	const cJSON *row;
	const char *pos;
	size_t i;
	int pad;

	measure_table(&table, rows);
	fprintf(out, "%*s", indent, "");
	for (i = 0; i < table.nr; i++) {
		for (pos = table.names[i]; *pos; pos++)
			fputc(toupper((unsigned char)*pos), out);
		pad = (int)(table.widths[i] - strlen(table.names[i])) + 2;
		fprintf(out, "%*s", i + 1 < table.nr ? pad : 0, "");
	}
	fputc('\n', out);
	cJSON_ArrayForEach(row, rows)
	{
		fprintf(out, "%*s", indent, "");
		for (i = 0; i < table.nr; i++)
			print_cell(out,
				   cJSON_GetObjectItemCaseSensitive(
					   row, table.names[i]),
				   table.widths[i], i + 1 == table.nr);
	}
}

static bool is_list_of_objects(const cJSON *value)
{
	return cJSON_IsArray(value) && cJSON_IsObject(value->child) &&
	       value->child->child;
}

/*
 * Returns whether a value can be printed as a table: a list of objects that
 * contain no objects themselves, since these do not fit into a cell.
 */
static bool is_table(const cJSON *value)
{
	const cJSON *row, *cell;

	if (!is_list_of_objects(value))
		return false;
	cJSON_ArrayForEach(row, value)
	{
		cJSON_ArrayForEach(cell, row)
		{
			if (cJSON_IsObject(cell) || is_list_of_objects(cell))
				return false;
		}
	}
	return true;
}

static void print_object(FILE *out, const cJSON *object, int indent);

static void print_objects(FILE *out, const char *name, const cJSON *list,
			  int indent)
{
	int i = 0, nr = cJSON_GetArraySize(list);
	const cJSON *item;

	cJSON_ArrayForEach(item, list)
	{
		fprintf(out, "%*s%s %d of %d:\n", indent, "", name, ++i, nr);
		print_object(out, item, indent + INDENT);
	}
}

static void print_member(FILE *out, const cJSON *member, size_t width,
			 int indent)
{
	if (is_list_of_objects(member) && !is_table(member)) {
		print_objects(out, member->string, member, indent);
		return;
	}
	if (!cJSON_IsObject(member) && !is_table(member)) {
		fprintf(out, "%*s%-*s  ", indent, "", (int)width,
			member->string);
		print_cell(out, member, 0, true);
		return;
	}
	fprintf(out, "%*s%s:\n", indent, "", member->string);
	if (cJSON_IsObject(member))
		print_object(out, member, indent + INDENT);
	else
		print_table(out, member, indent + INDENT);
}

/*
 * Recursive. The depth is limited by that of the parser, CJSON_NESTING_LIMIT.
 */
static void print_object(FILE *out, const cJSON *object, int indent)
{
	const cJSON *member;
	size_t width = 0;

	cJSON_ArrayForEach(member, object)
	{
		if (!cJSON_IsObject(member) && !is_list_of_objects(member) &&
		    strlen(member->string) > width)
			width = strlen(member->string);
	}
	cJSON_ArrayForEach(member, object)
		print_member(out, member, width, indent);
}

void cli_print_text(FILE *out, const cJSON *value)
{
	if (cJSON_IsObject(value))
		print_object(out, value, 0);
	else if (is_table(value))
		print_table(out, value, 0);
	else
		print_cell(out, value, 0, true);
}

int cli_print_reply(struct cli *cli, const struct cli_reply *reply)
{
	const char *text = (const char *)reply->body.data;
	cJSON *json = cJSON_Parse(text);

	if (!json)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the response is not JSON: not a control or "
				"entry instance");
	if (cli->options[OPT_JSON])
		fprintf(cli->env->out, "%s\n", text);
	else
		cli_print_text(cli->env->out, json);
	cJSON_Delete(json);
	return CLI_DONE;
}
