/**
 * Binds a key to a home through the platform's table: a caller's own key on first sight, and any
 * key whose home stopped as planned without having run it. One conditional write decides; no
 * lease and no clock does, so that a paused home which wakes is harmless.
 *
 * The steps are pure: `startBinding` and `advanceBinding` say what to ask of the table next, and
 * the caller feeds back what came. A write whose answer was lost is settled by reading back: the
 * nonce tells whose it was. A write that takes effect even later does no harm, since the row
 * still names one home and only that home's ledger runs the key.
 */
import {
	executionOutcomes,
	type ClosingRecord,
	type EndedKey,
	type ExecutionOutcome,
} from './closing.js';
import {isSameHome, type AddressedHome, type Home} from './home.js';

/** Which home may run a key. */
export type Binding = {
	readonly home: AddressedHome;
	/** Random text of the write. */
	readonly nonce: string;
	/** Milliseconds of the home's wall clock. */
	readonly expiresAt: number;
};

export type VersionedBinding = {readonly binding: Binding; readonly version: string};

/** A home that has ended and the key's expiry by its clock, in milliseconds. */
export type EndedHome = {readonly home: Home; readonly expiresAt: number};

export type BindingRules = {
	/** Whether a home is known to have ended. */
	readonly isGone: (home: Home) => boolean;
	/** What became of a key at a home that has ended. */
	readonly findOutcome: (
		key: EndedKey,
		closing: ClosingRecord | undefined,
	) => ExecutionOutcome;
};

/** What to do next. */
export type BindingStep =
	| {readonly kind: 'create'; readonly binding: Binding}
	| {readonly kind: 'replace'; readonly binding: Binding; readonly version: string}
	| {readonly kind: 'read'}
	| {readonly kind: 'readClosing'; readonly home: Home}
	| {readonly kind: 'done'; readonly result: BindingResult};

export type BindingResult =
	| {readonly kind: 'bound'; readonly home: AddressedHome; readonly expiresAt: number}
	/** The home has ended; `ran` or `unknown`. */
	| {readonly kind: 'ended'; readonly outcome: ExecutionOutcome}
	/** The table did not tell. Nothing was handed on by this try. */
	| {readonly kind: 'unavailable'};

/** What came of the last step. */
export type BindingEvent =
	| {readonly kind: 'written'}
	/** The row was not as the write demanded; here it is as it stands. */
	| {readonly kind: 'conflict'; readonly row: VersionedBinding | undefined}
	| {readonly kind: 'read'; readonly row: VersionedBinding | undefined}
	| {readonly kind: 'closingRead'; readonly closing: ClosingRecord | undefined}
	| {readonly kind: 'failed'};

export type BindingProgress = {
	readonly keyId: string;
	/** What this node would write. */
	readonly proposed: Binding;
	/** The home whose summary is asked for. */
	readonly ended: EndedHome | undefined;
	/** Last row read. */
	readonly row: VersionedBinding | undefined;
	readonly step: BindingStep;
	readonly stepsLeft: number;
};

const mostSteps = 8;

/**
 * Starts to bind a key.
 *
 * @param keyId name of the key
 * @param wanted this node as home, with a fresh nonce
 * @param ended what an issued key names, when that home is known to have ended
 * @returns the first step
 */
export function startBinding(
	keyId: string,
	wanted: Binding,
	ended?: EndedHome,
): BindingProgress {
	const step: BindingStep = ended
		? {kind: 'readClosing', home: ended.home}
		: {kind: 'create', binding: wanted};
	return {keyId, proposed: wanted, ended, row: undefined, step, stepsLeft: mostSteps};
}

/**
 * Goes on after a step.
 *
 * @param progress the state so far
 * @param event what came of its step
 * @param rules how homes that ended are judged
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
			return finish(progress, bound(progress.proposed));
		}

		case 'conflict':
		case 'read': {
			return judgeRow({...progress, row: event.row}, rules);
		}

		case 'closingRead': {
			return judgeClosing(progress, event.closing, rules);
		}

		case 'failed': {
			return isWrite(progress.step)
				? proceed(progress, {kind: 'read'})
				: finish(progress, {kind: 'unavailable'});
		}
	}
}

function judgeRow(progress: BindingProgress, rules: BindingRules): BindingProgress {
	const {row, proposed: wanted} = progress;
	if (!row) {
		return finish(progress, {kind: 'unavailable'});
	}

	const {home, nonce, expiresAt} = row.binding;
	if (nonce === wanted.nonce || isSameHome(home, wanted.home) || !rules.isGone(home)) {
		return finish(progress, bound(row.binding));
	}

	return proceed({...progress, ended: {home, expiresAt}}, {kind: 'readClosing', home});
}

function judgeClosing(
	progress: BindingProgress,
	closing: ClosingRecord | undefined,
	rules: BindingRules,
): BindingProgress {
	const {keyId, ended} = progress;
	const fate = ended
		? rules.findOutcome({keyId, expiresAt: ended.expiresAt}, closing)
		: executionOutcomes.unknown;
	if (fate !== executionOutcomes.notRun) {
		return finish(progress, {kind: 'ended', outcome: fate});
	}

	const {row, proposed: binding} = progress;
	return proceed(
		progress,
		row ? {kind: 'replace', binding, version: row.version} : {kind: 'create', binding},
	);
}

function bound(binding: Binding): BindingResult {
	return {kind: 'bound', home: binding.home, expiresAt: binding.expiresAt};
}

function isWrite(step: BindingStep): boolean {
	return step.kind === 'create' || step.kind === 'replace';
}

function proceed(progress: BindingProgress, step: BindingStep): BindingProgress {
	return {...progress, step, stepsLeft: progress.stepsLeft - 1};
}

function finish(progress: BindingProgress, result: BindingResult): BindingProgress {
	return {...progress, step: {kind: 'done', result}};
}
