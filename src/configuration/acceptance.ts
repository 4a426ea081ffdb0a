/**
 * Carries a change through the table. The write is conditional on the row that was read, so it
 * can be repeated without harm after a lost answer: a late first write and its repeat cannot both
 * meet the condition. The change counts as accepted once its id stands in the row.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {TableClient, TableError, TableRow, WriteCondition} from '../table/index.js';
import {
	changeErrorKinds,
	createChangeConflict,
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

const resolvingMilliseconds = 5000;
const repeatPauseMilliseconds = 100;

/** An accepted change with the row that holds it or a later one. */
export type AcceptedChange = {
	readonly record: ChangeRecord;
	readonly stored: StoredConfiguration;
	/** Version of the row that holds `stored`. */
	readonly rowVersion: string;
};

export type AcceptanceOptions = {
	readonly table: TableClient;
	/** Highest version of the team that the node has heard of, 0 for none. */
	readonly highestKnownVersion: number;
	/** Wall clock, milliseconds since 1970. */
	readonly clock: () => number;
};

/**
 * Carries a change through the table.
 *
 * @param change what is asked
 * @param options the table and the clock
 * @returns the acceptance; `unresolved` when the table answered neither the write nor its repeats
 * in time: the same change id asked again tells which
 */
export async function acceptChange(
	change: Change,
	options: AcceptanceOptions,
): Promise<Result<AcceptedChange, ChangeError>> {
	const read = await options.table.read(toRowKey(change.team));
	if (read.isErr()) {
		return err(createStoreUnavailable(read.error));
	}

	const row = read.value;
	const present = readRow(row);
	if (present.isErr()) {
		return err(present.error);
	}

	const now = options.clock();
	const decision = evaluateChange(
		present.value,
		change,
		options.highestKnownVersion,
		now,
	);
	if (decision.isErr()) {
		return err(decision.error);
	}

	if (decision.value.kind === 'stands') {
		const {record} = decision.value;
		return ok({record, stored: present.value!, rowVersion: row!.version});
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
	return read.mapErr(createStoreUnavailable).andThen(readRow);
}

async function writeUntilResolved(
	next: StoredConfiguration,
	condition: WriteCondition,
	options: AcceptanceOptions,
): Promise<Result<AcceptedChange, ChangeError>> {
	const endsAt = options.clock() + resolvingMilliseconds;
	const record = next.history[0]!;
	let mayHaveArrived = false;
	for (;;) {
		// Each try depends on what became of the one before.
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
			return err(createStoreUnavailable(error));
		}

		if (options.clock() >= endsAt) {
			return err(createUnresolved(record.changeId));
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(repeatPauseMilliseconds);
	}
}

/** The condition failed: either an earlier try of this very change took effect, or another won. */
function resolveConflict(
	record: ChangeRecord,
	row: TableRow | undefined,
): Result<AcceptedChange, ChangeError> {
	return readRow(row).andThen(stored => {
		const standing = findChange(stored, record.changeId);
		return standing === undefined || stored === undefined || row === undefined
			? err(createChangeConflict(stored))
			: ok({record: standing, stored, rowVersion: row.version});
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
		message: `the row ${row.key} is no configuration (${reason}); remove it from the table and apply the document again`,
	}));
}

function toCondition(row: TableRow | undefined): WriteCondition {
	return row === undefined ? {kind: 'absent'} : {kind: 'version', version: row.version};
}

function createStoreUnavailable(error: TableError): ChangeError {
	const message = `nothing changed: ${error.message}`;
	return {kind: changeErrorKinds.storeUnavailable, message};
}

function createUnresolved(changeId: string): ChangeError {
	const message = `the table did not say whether the change took effect; send it again with the same change id ${changeId}`;
	return {kind: changeErrorKinds.unresolved, message};
}
