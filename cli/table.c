/* Tables of text columns for terminal output. */
#include "table.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

struct Table {
    GPtrArray *cells;
    size_t n_columns;
};

Table *
Table_New(const char *const *titles, size_t n_columns)
{
    Table *table = g_new0(Table, 1);
    table->cells = g_ptr_array_new_with_free_func(g_free);
    table->n_columns = n_columns;
    for (size_t i = 0; i < n_columns; i++) {
        Table_Add(table, titles[i]);
    }
    return table;
}

void
Table_Add(Table *table, const char *text)
{
    g_ptr_array_add(table->cells, g_strdup(text ? text : "-"));
}

void
Table_AddNumber(Table *table, double number)
{
    g_ptr_array_add(table->cells, g_strdup_printf("%g", number));
}

static int
column_width(const Table *table, size_t column)
{
    size_t width = 0;
    for (guint i = (guint)column; i < table->cells->len;
         i += (guint)table->n_columns) {
        width = MAX(width, strlen(table->cells->pdata[i]));
    }
    return (int)width;
}

void
Table_Print(Table *table)
{
    size_t n = table->n_columns;
    int *widths = g_new0(int, n);
    for (size_t i = 0; i < n; i++) {
        widths[i] = column_width(table, i);
    }
    for (guint i = 0; i < table->cells->len; i++) {
        size_t column = i % n;
        const char *end = column + 1 == n ? "\n" : "  ";
        printf("%-*s%s", column + 1 == n ? 0 : widths[column],
               (char *)table->cells->pdata[i], end);
    }
    g_free(widths);
    g_ptr_array_unref(table->cells);
    g_free(table);
}
