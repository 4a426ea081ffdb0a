/**
 * Carries out the steps of a binding at the platform's table, within the claim budget.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {
	advanceBinding,
	closingRowKey,
	decodeBinding,
	decodeClosing,
	encodeBinding,
	findExecutionOutcome,
	recordWriteResult,
	startBinding,
	takeWriteToken,
	type BindingEvent,
	type BindingResult,
	type BindingStep,
	type WriteBudget,
	type EndedHome,
	type AddressedHome,
	type Home,
	type VersionedBinding,
} from '../binding/index.js';
import type {TableClient, TableError, TableRow} from '../table/index.js';

/** How a binding ended, or how long the budget wants it to wait, in milliseconds. */
export type BindResult =
	BindingResult | {readonly kind: 'overBudget'; readonly retryAfterMilliseconds: number};

export type KeyBinder = {
	/**
	 * Finds or makes a key's home. `isGone` tells the homes that cannot be asked; `ended` is that
	 * of an issued key.
	 */
	readonly bind: (
		keyId: string,
		isGone: (home: Home) => boolean,
		ended?: EndedHome,
	) => Promise<BindResult>;
};

type KeyBinderOptions = {
	readonly home: AddressedHome;
	readonly table: Pick<TableClient, 'read' | 'write'>;
	readonly budget: WriteBudget;
	/** Milliseconds, monotonic. */
	readonly now: () => number;
	/** Wall clock in milliseconds. */
	readonly wallClock: () => number;
	readonly keyLifetimeMilliseconds: number;
};

type Step = Exclude<BindingStep, {kind: 'done'}>;

const nonceBytes = 12;

/**
 * Creates the binder.
 *
 * @param options this node as home, the table and its budget
 * @returns the binder
 */
export function createKeyBinder(options: KeyBinderOptions): KeyBinder {
	const {table, budget} = options;

	async function ask(keyId: string, step: Step): Promise<BindingEvent> {
		const rowKey = bindingRowKey(keyId);
		if (step.kind === 'read') {
			const read = await table.read(rowKey);
			return read.isErr() ? {kind: 'failed'} : {kind: 'read', row: readRow(read.value)};
		}

		if (step.kind === 'readClosing') {
			const read = await table.read(closingRowKey(step.home));
			return read.isErr()
				? {kind: 'failed'}
				: {kind: 'closingRead', closing: read.value && decodeClosing(read.value.value)};
		}

		const written = await table.write(
			rowKey,
			encodeBinding(step.binding),
			step.kind === 'create'
				? {kind: 'absent'}
				: {kind: 'version', version: step.version},
		);
		const event = written.match<BindingEvent>(() => ({kind: 'written'}), readFailure);
		recordWriteResult(budget, event.kind !== 'failed');
		return event;
	}

	async function bind(
		keyId: string,
		isGone: (home: Home) => boolean,
		ended?: EndedHome,
	): Promise<BindResult> {
		const rules = {isGone, findOutcome: findExecutionOutcome};
		const retryAfterMilliseconds = takeWriteToken(budget, options.now());
		if (retryAfterMilliseconds > 0) {
			return {kind: 'overBudget', retryAfterMilliseconds};
		}

		const wanted = {
			home: options.home,
			nonce: Buffer.from(randomBytes(nonceBytes)).toString('base64url'),
			expiresAt: options.wallClock() + options.keyLifetimeMilliseconds,
		};
		let progress = startBinding(keyId, wanted, ended);
		while (progress.step.kind !== 'done') {
			// Each step depends on what came of the one before.
			// eslint-disable-next-line no-await-in-loop
			progress = advanceBinding(progress, await ask(keyId, progress.step), rules);
		}

		return progress.step.result;
	}

	return {bind};
}

function bindingRowKey(keyId: string): string {
	return `binding/${keyId}`;
}

function readFailure(error: TableError): BindingEvent {
	return error.kind === 'conflict'
		? {kind: 'conflict', row: readRow(error.current)}
		: {kind: 'failed'};
}

/** A row that cannot be read binds its key to nobody: it is as if the table did not tell. */
function readRow(row: TableRow | undefined): VersionedBinding | undefined {
	const binding = row && decodeBinding(row.value);
	return binding && {binding, version: row.version};
}
