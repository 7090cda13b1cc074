/* Plain tables on a terminal. */
#ifndef LAVENDERRAIL_TABLE_H
#define LAVENDERRAIL_TABLE_H

#include <stddef.h>

typedef struct Table Table;

Table *Table_New(const char *const *titles, size_t n_columns);
/* Adds a cell, row by row; the text is copied. */
void Table_Add(Table *table, const char *text);
void Table_AddNumber(Table *table, double number);
/* Prints the table to standard output and frees it. */
void Table_Print(Table *table);

#endif
