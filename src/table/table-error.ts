/** Kinds of errors of the table client. */
export const tableErrorKinds = {
	/** The table could not be reached or did not accept the request; it had no effect. */
	unavailable: 'unavailable',
	/** No response to a request that may have arrived; its effect is unknown. */
	timedOut: 'timed-out',
	/** The row did not meet the condition; nothing changed. */
	conflict: 'conflict',
	/** The table rejected the request as invalid; it had no effect, and a retry would fail too. */
	rejected: 'rejected',
} as const;

export type TableErrorKind = (typeof tableErrorKinds)[keyof typeof tableErrorKinds];

/** A failed call; a conflict has the current row, `undefined` if it does not exist. */
export type TableError =
	| {
			readonly kind: 'unavailable' | 'timed-out' | 'rejected';
			readonly message: string;
	  }
	| {
			readonly kind: 'conflict';
			readonly message: string;
			readonly current: TableRow | undefined;
	  };

/** One row: its key, its value as text, and an opaque version that every write changes. */
export type TableRow = {
	readonly key: string;
	readonly value: string;
	readonly version: string;
};

export function createUnavailable(reason: string): TableError {
	const message = `the table cannot be reached (${reason}); nothing changed, try again later`;
	return {kind: tableErrorKinds.unavailable, message};
}

export function createTimedOut(reason: string): TableError {
	const message = `the table did not answer (${reason}); read the row to see whether it changed`;
	return {kind: tableErrorKinds.timedOut, message};
}

export function createConflict(current: TableRow | undefined): TableError {
	const message = 'the row has changed; read it and decide again';
	return {kind: tableErrorKinds.conflict, message, current};
}

export function createRejected(status: number, body: string): TableError {
	const message = `the table rejected the request with status ${status} (${body}); correct the request`;
	return {kind: tableErrorKinds.rejected, message};
}
