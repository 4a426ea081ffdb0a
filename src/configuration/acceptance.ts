/**
 * Commits a change to the table. The write is conditional on the row that was read, so it can be
 * retried safely after a lost answer: a delayed first write and its retry cannot both meet the
 * condition. The change is accepted once its id is in the row.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {TableClient, TableError, TableRow, WriteCondition} from '../table/index.js';
import {
	changeErrorKinds,
	createConflictError,
	evaluateChange,
	findChange,
	type Change,
	type ChangeError,
} from './change.js';
import {
	formatStoredConfiguration,
	parseStoredConfiguration,
	toRowKey,
	type ChangeRecord,
	type StoredConfiguration,
} from './stored.js';

const resolveTimeoutMilliseconds = 5000;
const retryPauseMilliseconds = 100;

/** An accepted change with the row that holds it or a later one. */
export type AcceptedChange = {
	readonly record: ChangeRecord;
	readonly stored: StoredConfiguration;
	/** Version of the row that holds `stored`. */
	readonly rowVersion: string;
};

export type AcceptanceOptions = {
	readonly table: TableClient;
	/** Highest version of the team known to the node, 0 for none. */
	readonly highestKnownVersion: number;
	/** Wall clock, milliseconds since 1970. */
	readonly clock: () => number;
};

/**
 * Commits a change to the table.
 *
 * @param change the requested change
 * @param options the table and the clock
 * @returns the accepted change; `unresolved` when the table answered neither the write nor its
 * retries in time: sending the same change id again tells whether it took effect
 */
export async function acceptChange(
	change: Change,
	options: AcceptanceOptions,
): Promise<Result<AcceptedChange, ChangeError>> {
	const read = await options.table.read(toRowKey(change.team));
	if (read.isErr()) {
		return err(createStoreUnavailableError(read.error));
	}

	const row = read.value;
	const stored = readRow(row);
	if (stored.isErr()) {
		return err(stored.error);
	}

	const now = options.clock();
	const decision = evaluateChange(stored.value, change, options.highestKnownVersion, now);
	if (decision.isErr()) {
		return err(decision.error);
	}

	if (decision.value.kind === 'stands') {
		const {record} = decision.value;
		return ok({record, stored: stored.value!, rowVersion: row!.version});
	}

	return writeUntilResolved(decision.value.next, toCondition(row), options);
}

/**
 * Reads a team's row.
 *
 * @returns the row, `undefined` if there is none
 */
export async function readConfiguration(
	table: TableClient,
	team: string,
): Promise<Result<StoredConfiguration | undefined, ChangeError>> {
	const read = await table.read(toRowKey(team));
	return read.mapErr(createStoreUnavailableError).andThen(readRow);
}

async function writeUntilResolved(
	next: StoredConfiguration,
	condition: WriteCondition,
	options: AcceptanceOptions,
): Promise<Result<AcceptedChange, ChangeError>> {
	const endsAt = options.clock() + resolveTimeoutMilliseconds;
	const record = next.history[0]!;
	let mayHaveArrived = false;
	for (;;) {
		// Each attempt depends on the result of the previous one.
		// eslint-disable-next-line no-await-in-loop
		const written = await options.table.write(
			toRowKey(next.team),
			formatStoredConfiguration(next),
			condition,
		);
		if (written.isOk()) {
			return ok({record, stored: next, rowVersion: written.value.version});
		}

		const {error} = written;
		if (error.kind === 'conflict') {
			return resolveConflict(record, error.current);
		}

		mayHaveArrived ||= error.kind === 'timed-out';
		if (!mayHaveArrived) {
			return err(createStoreUnavailableError(error));
		}

		if (options.clock() >= endsAt) {
			return err(createUnresolvedError(record.changeId));
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(retryPauseMilliseconds);
	}
}

/** The condition failed: an earlier attempt of this change took effect, or another change won. */
function resolveConflict(
	record: ChangeRecord,
	row: TableRow | undefined,
): Result<AcceptedChange, ChangeError> {
	return readRow(row).andThen(stored => {
		const accepted = findChange(stored, record.changeId);
		return accepted === undefined || stored === undefined || row === undefined
			? err(createConflictError(stored))
			: ok({record: accepted, stored, rowVersion: row.version});
	});
}

function readRow(
	row: TableRow | undefined,
): Result<StoredConfiguration | undefined, ChangeError> {
	if (row === undefined) {
		return ok(undefined);
	}

	return parseStoredConfiguration(row.value).mapErr(reason => ({
		kind: changeErrorKinds.storedRowInvalid,
		message: `the row ${row.key} does not hold a valid configuration (${reason}); remove it from the table and apply the document again`,
	}));
}

function toCondition(row: TableRow | undefined): WriteCondition {
	return row === undefined ? {kind: 'absent'} : {kind: 'version', version: row.version};
}

function createStoreUnavailableError(error: TableError): ChangeError {
	const message = `nothing changed: ${error.message}`;
	return {kind: changeErrorKinds.storeUnavailable, message};
}

function createUnresolvedError(changeId: string): ChangeError {
	const message = `the table did not confirm whether the change took effect; send it again with the same change id ${changeId}`;
	return {kind: changeErrorKinds.unresolved, message};
}
