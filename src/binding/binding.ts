/**
 * Binds a key to a home through the platform's table: a key chosen by the caller on first use, and
 * any key whose home stopped as planned without having run it. One conditional write decides,
 * not a lease or a clock, so a paused home that resumes is harmless.
 *
 * The state machine does no I/O: `startBinding` and `advanceBinding` return the next table
 * operation, and the caller passes in its result. If the answer to a write is lost, the row is
 * read back and its nonce tells whose write took effect. A write that takes effect even later is
 * harmless, since the row still names one home and only that home's ledger runs the key.
 */
import {
	executionOutcomes,
	type ClosingRecord,
	type EndedKey,
	type ExecutionOutcome,
} from './closing.js';
import {isSameHome, type AddressedHome, type Home} from './home.js';

/** The home that may run a key. */
export type Binding = {
	readonly home: AddressedHome;
	/** Random text that identifies the write. */
	readonly nonce: string;
	/** Milliseconds of the home's wall clock. */
	readonly expiresAt: number;
};

export type VersionedBinding = {readonly binding: Binding; readonly version: string};

/** A terminated home and the key's expiry by its wall clock, in milliseconds. */
export type EndedHome = {readonly home: Home; readonly expiresAt: number};

export type BindingRules = {
	/** Whether a home is known to have terminated. */
	readonly isGone: (home: Home) => boolean;
	/** Finds the outcome of a key at a terminated home. */
	readonly findOutcome: (
		key: EndedKey,
		closing: ClosingRecord | undefined,
	) => ExecutionOutcome;
};

/** The next step; `done` ends the binding. */
export type BindingStep =
	| {readonly kind: 'create'; readonly binding: Binding}
	| {readonly kind: 'replace'; readonly binding: Binding; readonly version: string}
	| {readonly kind: 'read'}
	| {readonly kind: 'readClosing'; readonly home: Home}
	| {readonly kind: 'done'; readonly result: BindingResult};

export type BindingResult =
	| {readonly kind: 'bound'; readonly home: AddressedHome; readonly expiresAt: number}
	/** The home has terminated; `ran` or `unknown`. */
	| {readonly kind: 'ended'; readonly outcome: ExecutionOutcome}
	/** The table gave no usable answer. This attempt did not forward the request. */
	| {readonly kind: 'unavailable'};

/** The result of the last step. */
export type BindingEvent =
	| {readonly kind: 'written'}
	/** The write's condition failed; `row` is the current row. */
	| {readonly kind: 'conflict'; readonly row: VersionedBinding | undefined}
	| {readonly kind: 'read'; readonly row: VersionedBinding | undefined}
	| {readonly kind: 'closingRead'; readonly closing: ClosingRecord | undefined}
	| {readonly kind: 'failed'};

export type BindingProgress = {
	readonly keyId: string;
	/** The binding that this node tries to write. */
	readonly proposed: Binding;
	/** The home whose closing summary is read. */
	readonly ended: EndedHome | undefined;
	/** Last row read. */
	readonly row: VersionedBinding | undefined;
	readonly step: BindingStep;
	readonly stepsLeft: number;
};

const maximumSteps = 8;

/**
 * Starts to bind a key.
 *
 * @param keyId name of the key
 * @param proposed this node as home, with a fresh nonce
 * @param ended home and expiry from an issued key, if that home is known to have terminated
 * @returns the state with its first step
 */
export function startBinding(
	keyId: string,
	proposed: Binding,
	ended?: EndedHome,
): BindingProgress {
	const step: BindingStep = ended
		? {kind: 'readClosing', home: ended.home}
		: {kind: 'create', binding: proposed};
	return {
		keyId,
		proposed,
		ended,
		row: undefined,
		step,
		stepsLeft: maximumSteps,
	};
}

/**
 * Advances after a step.
 *
 * @param progress the current state
 * @param event the result of its step
 * @param rules tell which homes have terminated, and the outcome of their keys
 * @returns the state with its next step
 */
export function advanceBinding(
	progress: BindingProgress,
	event: BindingEvent,
	rules: BindingRules,
): BindingProgress {
	if (progress.stepsLeft === 0) {
		return finish(progress, {kind: 'unavailable'});
	}

	switch (event.kind) {
		case 'written': {
			return finish(progress, toBoundResult(progress.proposed));
		}

		case 'conflict':
		case 'read': {
			return handleRow({...progress, row: event.row}, rules);
		}

		case 'closingRead': {
			return handleClosing(progress, event.closing, rules);
		}

		case 'failed': {
			return isWrite(progress.step)
				? withStep(progress, {kind: 'read'})
				: finish(progress, {kind: 'unavailable'});
		}
	}
}

function handleRow(progress: BindingProgress, rules: BindingRules): BindingProgress {
	const {row, proposed} = progress;
	if (!row) {
		return finish(progress, {kind: 'unavailable'});
	}

	const {home, nonce, expiresAt} = row.binding;
	if (
		nonce === proposed.nonce ||
		isSameHome(home, proposed.home) ||
		!rules.isGone(home)
	) {
		return finish(progress, toBoundResult(row.binding));
	}

	return withStep({...progress, ended: {home, expiresAt}}, {kind: 'readClosing', home});
}

function handleClosing(
	progress: BindingProgress,
	closing: ClosingRecord | undefined,
	rules: BindingRules,
): BindingProgress {
	const {keyId, ended} = progress;
	const outcome = ended
		? rules.findOutcome({keyId, expiresAt: ended.expiresAt}, closing)
		: executionOutcomes.unknown;
	if (outcome !== executionOutcomes.notRun) {
		return finish(progress, {kind: 'ended', outcome});
	}

	const {row, proposed: binding} = progress;
	return withStep(
		progress,
		row ? {kind: 'replace', binding, version: row.version} : {kind: 'create', binding},
	);
}

function toBoundResult(binding: Binding): BindingResult {
	return {kind: 'bound', home: binding.home, expiresAt: binding.expiresAt};
}

function isWrite(step: BindingStep): boolean {
	return step.kind === 'create' || step.kind === 'replace';
}

function withStep(progress: BindingProgress, step: BindingStep): BindingProgress {
	return {...progress, step, stepsLeft: progress.stepsLeft - 1};
}

function finish(progress: BindingProgress, result: BindingResult): BindingProgress {
	return {...progress, step: {kind: 'done', result}};
}
