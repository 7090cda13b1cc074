/* Tables of text columns for terminal output. */
#ifndef LAVENDERRAIL_TABLE_H
#define LAVENDERRAIL_TABLE_H

#include <stddef.h>

typedef struct Table Table;

Table *Table_New(const char *const *titles, size_t n_columns);
/* Appends a cell; cells fill the table row by row. Copies text; NULL prints
 * as "-". */
void Table_Add(Table *table, const char *text);
void Table_AddNumber(Table *table, double number);
/* Prints the table to standard output and frees it. */
void Table_Print(Table *table);

#endif
