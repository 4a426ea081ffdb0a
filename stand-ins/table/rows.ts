/**
 * The rows of the table stand-in, in memory. Every effect takes the next number of one sequence
 * as the row's version, so a row that is removed and written anew never bears an old version.
 */
export type Row = {
	readonly key: string;
	readonly value: string;
	readonly version: string;
};

export type Rows = {readonly byKey: Map<string, Row>; sequence: number};

/** The condition of an effect, as its request's headers state it. */
export type Condition =
	{readonly kind: 'absent'} | {readonly kind: 'version'; readonly version: string};

export function createRows(): Rows {
	return {byKey: new Map(), sequence: 0};
}

/**
 * Reads rows in the order of their keys.
 *
 * @param rows the rows
 * @param prefix what the keys begin with
 * @param after the key after which the page begins
 * @param limit the most rows of a page
 * @returns the page and the key to go on from, if there is more
 */
export function listRows(rows: Rows, prefix: string, after: string, limit: number) {
	const matching = [...rows.byKey.values()]
		.filter(row => row.key.startsWith(prefix) && row.key > after)
		.toSorted((left, right) => (left.key < right.key ? -1 : 1));
	const page = matching.slice(0, limit);
	const next = matching.length > limit ? page.at(-1)?.key : undefined;
	return {rows: page, next};
}

/** Whether the row's present state meets the condition. */
export function meetsCondition(row: Row | undefined, condition: Condition): boolean {
	if (condition.kind === 'absent') {
		return row === undefined;
	}

	return row?.version === condition.version;
}

export function writeRow(rows: Rows, key: string, value: string): Row {
	rows.sequence += 1;
	const row = {key, value, version: String(rows.sequence)};
	rows.byKey.set(key, row);
	return row;
}
