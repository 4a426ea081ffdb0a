/**
 * In-memory rows of the table stand-in. Every write takes the next number of a single sequence as
 * the row's version, so a row that is removed and written again never repeats an old version.
 */
export type Row = {
	readonly key: string;
	readonly value: string;
	readonly version: string;
};

export type Rows = {readonly byKey: Map<string, Row>; sequence: number};

/** Condition of a write or removal, from the request's headers. */
export type Condition =
	{readonly kind: 'absent'} | {readonly kind: 'version'; readonly version: string};

export function createRows(): Rows {
	return {byKey: new Map(), sequence: 0};
}

/**
 * Lists one page of rows in key order.
 *
 * @param rows the rows
 * @param prefix prefix of the keys
 * @param after key after which the page starts (exclusive)
 * @param limit maximum number of rows on the page
 * @returns the page, and its last key as `next` if there are more rows
 */
export function listRows(rows: Rows, prefix: string, after: string, limit: number) {
	const matching = [...rows.byKey.values()]
		.filter(row => row.key.startsWith(prefix) && row.key > after)
		.toSorted((left, right) => (left.key < right.key ? -1 : 1));
	const page = matching.slice(0, limit);
	const next = matching.length > limit ? page.at(-1)?.key : undefined;
	return {rows: page, next};
}

/** Whether the current row, or its absence, meets the condition. */
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
