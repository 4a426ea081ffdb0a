/**
 * Checks a change of a team's configuration against the stored row. A change has an id, so a
 * retry after a lost answer gets the same result. Of two changes made from the same version, the
 * second gets a conflict; changes are never merged.
 */
import {err, ok, type Result} from 'neverthrow';
import type {DocumentFault} from '../settings/document.js';
import {parseConfiguration, setPresetInForce} from './document.js';
import type {ConfigurationDocument} from './schema.js';
import {computeDigest, type ChangeRecord, type StoredConfiguration} from './stored.js';

/** A change requested by an operator. */
export type Change = {
	/** Chosen by the requester; the same id means the same change. */
	readonly changeId: string;
	readonly team: string;
	/** The requester. */
	readonly by: string;
	readonly content:
		| {readonly kind: 'document'; readonly text: string}
		| {readonly kind: 'preset'; readonly preset: string};
	/** Version that the change is based on, 0 for none. If absent, any version is accepted. */
	readonly expectedVersion?: number;
};

export const changeErrorKinds = {
	invalidDocument: 'invalid-document',
	unknownPreset: 'unknown-preset',
	noConfiguration: 'no-configuration',
	conflict: 'conflict',
	changeIdReused: 'change-id-reused',
	storeUnavailable: 'store-unavailable',
	/** The table did not confirm whether the change took effect. */
	unresolved: 'unresolved',
	storedRowInvalid: 'stored-row-invalid',
} as const;

export type ChangeErrorKind = (typeof changeErrorKinds)[keyof typeof changeErrorKinds];

export type ChangeError = {
	readonly kind: ChangeErrorKind;
	readonly message: string;
	/** Every fault of an invalid document. */
	readonly faults?: readonly DocumentFault[];
	/** On a conflict: the latest accepted change. */
	readonly current?: ChangeRecord;
};

/** Either the change was accepted already, or the row to write. */
export type ChangeDecision =
	| {readonly kind: 'stands'; readonly record: ChangeRecord}
	| {readonly kind: 'write'; readonly next: StoredConfiguration};

/**
 * Checks a change and builds the row that applies it.
 *
 * @param stored the row as read, `undefined` if there is none
 * @param change the requested change
 * @param highestKnownVersion highest version of the team known to the node
 * @param now wall clock, milliseconds since 1970
 * @returns the row to write, the record of a change accepted earlier, or why it is refused
 */
export function evaluateChange(
	stored: StoredConfiguration | undefined,
	change: Change,
	highestKnownVersion: number,
	now: number,
): Result<ChangeDecision, ChangeError> {
	const contentDigest = computeDigest(JSON.stringify(change.content));
	const accepted = findChange(stored, change.changeId);
	if (accepted !== undefined) {
		return accepted.digest === contentDigest
			? ok({kind: 'stands', record: accepted})
			: err(createReusedIdError(change.changeId));
	}

	const currentVersion = stored?.version ?? 0;
	if (change.expectedVersion !== undefined && change.expectedVersion !== currentVersion) {
		return err(createConflictError(stored));
	}

	return readContent(stored, change).map(({text, document}) => {
		const record: ChangeRecord = {
			changeId: change.changeId,
			version: Math.max(currentVersion, highestKnownVersion) + 1,
			acceptedAt: now,
			by: change.by,
			inForce: document.inForce,
			digest: contentDigest,
		};
		const history = [record, ...(stored?.history ?? [])];
		const next = {team: change.team, version: record.version, text, history};
		return {kind: 'write', next};
	});
}

/** Finds the record of a change in the history of the row. */
export function findChange(
	stored: StoredConfiguration | undefined,
	changeId: string,
): ChangeRecord | undefined {
	return stored?.history.find(record => record.changeId === changeId);
}

/** The error for a change that is not based on the current version. */
export function createConflictError(
	stored: StoredConfiguration | undefined,
): ChangeError {
	const current = stored?.history[0];
	const winner =
		current === undefined
			? 'the team has no configuration'
			: `version ${current.version} by ${current.by} is in force`;
	const message = `${winner}; look at it, then make the change again from that version`;
	return {kind: changeErrorKinds.conflict, message, current};
}

function createReusedIdError(changeId: string): ChangeError {
	const message = `the change id ${changeId} was used for another change; choose a new one`;
	return {kind: changeErrorKinds.changeIdReused, message};
}

type Content = {readonly text: string; readonly document: ConfigurationDocument};

function readContent(
	stored: StoredConfiguration | undefined,
	change: Change,
): Result<Content, ChangeError> {
	if (change.content.kind === 'document') {
		return readDocument(change.content.text, change.team);
	}

	if (stored === undefined) {
		const message = `team ${change.team} has no configuration; apply a document first`;
		return err({kind: changeErrorKinds.noConfiguration, message});
	}

	return switchPreset(stored, change.content.preset);
}

function switchPreset(
	stored: StoredConfiguration,
	preset: string,
): Result<Content, ChangeError> {
	return readDocument(stored.text, stored.team).andThen(({document}) => {
		if (!Object.hasOwn(document.presets, preset)) {
			const names = Object.keys(document.presets).join(', ');
			const message = `no preset is named ${preset}; name one of: ${names}`;
			return err({kind: changeErrorKinds.unknownPreset, message});
		}

		return readDocument(setPresetInForce(stored.text, preset), stored.team);
	});
}

function readDocument(text: string, team: string): Result<Content, ChangeError> {
	const parsed = parseConfiguration(text).mapErr(createInvalidDocumentError);
	return parsed.andThen(document => {
		if (document.team === team) {
			return ok({text, document});
		}

		const message = `the document is of team ${document.team}; name ${team} or use that team's token`;
		return err(createInvalidDocumentError([{line: 1, place: 'team', message}]));
	});
}

function createInvalidDocumentError(faults: readonly DocumentFault[]): ChangeError {
	const count = faults.length;
	const message = `the document has ${count} ${count === 1 ? 'fault' : 'faults'}; correct each and apply it again`;
	return {kind: changeErrorKinds.invalidDocument, message, faults};
}
