/** Executes the steps of a binding against the platform's table, within the write budget. */
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

/** Result of a binding, or the delay that the write budget requires. */
export type BindResult =
	BindingResult | {readonly kind: 'overBudget'; readonly retryAfterMilliseconds: number};

export type KeyBinder = {
	/**
	 * Finds or assigns a key's home. `isGone` tells which homes have terminated or are unreachable;
	 * `ended` is the terminated home named in an issued key.
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
	/** Current time, milliseconds of the monotonic clock. */
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
 * @param options this node as a home, the table and its write budget
 * @returns the binder
 */
export function createKeyBinder(options: KeyBinderOptions): KeyBinder {
	const {table, budget} = options;

	async function executeStep(keyId: string, step: Step): Promise<BindingEvent> {
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
		const event = written.match<BindingEvent>(() => ({kind: 'written'}), toFailureEvent);
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

		const proposed = {
			home: options.home,
			nonce: Buffer.from(randomBytes(nonceBytes)).toString('base64url'),
			expiresAt: options.wallClock() + options.keyLifetimeMilliseconds,
		};
		let progress = startBinding(keyId, proposed, ended);
		while (progress.step.kind !== 'done') {
			// Each step depends on the result of the previous one.
			// eslint-disable-next-line no-await-in-loop
			progress = advanceBinding(progress, await executeStep(keyId, progress.step), rules);
		}

		return progress.step.result;
	}

	return {bind};
}

function bindingRowKey(keyId: string): string {
	return `binding/${keyId}`;
}

function toFailureEvent(error: TableError): BindingEvent {
	return error.kind === 'conflict'
		? {kind: 'conflict', row: readRow(error.current)}
		: {kind: 'failed'};
}

/** Returns `undefined` for a row that cannot be decoded, which makes the binding `unavailable`. */
function readRow(row: TableRow | undefined): VersionedBinding | undefined {
	const binding = row && decodeBinding(row.value);
	return binding && {binding, version: row.version};
}
