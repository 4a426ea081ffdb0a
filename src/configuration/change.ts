/**
 * Decides a change of a team's configuration against the row as it stands. A change has an id,
 * so a repeat after a lost answer is told the same acceptance. The loser of two changes made from
 * the same version is told so; nothing is merged.
 */
import {err, ok, type Result} from 'neverthrow';
import type {DocumentFault} from '../settings/document.js';
import {parseConfiguration, setPresetInForce} from './document.js';
import type {ConfigurationDocument} from './schema.js';
import {computeDigest, type ChangeRecord, type StoredConfiguration} from './stored.js';

/** What an operator asks for. */
export type Change = {
	/** Chosen by the one who asks; the same id asks for the same change. */
	readonly changeId: string;
	readonly team: string;
	/** Who asks. */
	readonly by: string;
	readonly content:
		| {readonly kind: 'document'; readonly text: string}
		| {readonly kind: 'preset'; readonly preset: string};
	/** Version that the change was made from; 0 for none. Left out: whichever is present. */
	readonly expectedVersion?: number;
};

export const changeErrorKinds = {
	invalidDocument: 'invalid-document',
	unknownPreset: 'unknown-preset',
	noConfiguration: 'no-configuration',
	conflict: 'conflict',
	changeIdReused: 'change-id-reused',
	storeUnavailable: 'store-unavailable',
	/** The store did not say whether the change took effect. */
	unresolved: 'unresolved',
	storedRowInvalid: 'stored-row-invalid',
} as const;

export type ChangeErrorKind = (typeof changeErrorKinds)[keyof typeof changeErrorKinds];

export type ChangeError = {
	readonly kind: ChangeErrorKind;
	readonly message: string;
	/** Every fault of an invalid document. */
	readonly faults?: readonly DocumentFault[];
	/** The change that stands, when another one won. */
	readonly current?: ChangeRecord;
};

/** Either the change stands already, or this is the row to write. */
export type ChangeDecision =
	| {readonly kind: 'stands'; readonly record: ChangeRecord}
	| {readonly kind: 'write'; readonly next: StoredConfiguration};

/**
 * Decides a change.
 *
 * @param present the row as read, `undefined` if there is none
 * @param change what is asked
 * @param highestKnownVersion highest version of the team that the node has heard of
 * @param now wall clock, milliseconds since 1970
 * @returns the row to write, or the acceptance that stands, or why the change is refused
 */
export function evaluateChange(
	present: StoredConfiguration | undefined,
	change: Change,
	highestKnownVersion: number,
	now: number,
): Result<ChangeDecision, ChangeError> {
	const asked = computeDigest(JSON.stringify(change.content));
	const standing = findChange(present, change.changeId);
	if (standing !== undefined) {
		return standing.digest === asked
			? ok({kind: 'stands', record: standing})
			: err(createReused(change.changeId));
	}

	const presentVersion = present?.version ?? 0;
	if (change.expectedVersion !== undefined && change.expectedVersion !== presentVersion) {
		return err(createChangeConflict(present));
	}

	return readContent(present, change).map(({text, document}) => {
		const record: ChangeRecord = {
			changeId: change.changeId,
			version: Math.max(presentVersion, highestKnownVersion) + 1,
			acceptedAt: now,
			by: change.by,
			inForce: document.inForce,
			digest: asked,
		};
		const history = [record, ...(present?.history ?? [])];
		const next = {team: change.team, version: record.version, text, history};
		return {kind: 'write', next};
	});
}

/** Finds the acceptance of a change in the row, if it is there. */
export function findChange(
	stored: StoredConfiguration | undefined,
	changeId: string,
): ChangeRecord | undefined {
	return stored?.history.find(record => record.changeId === changeId);
}

/** The error of the one who lost against another change. */
export function createChangeConflict(
	present: StoredConfiguration | undefined,
): ChangeError {
	const current = present?.history[0];
	const winner =
		current === undefined
			? 'the team has no configuration'
			: `version ${current.version} by ${current.by} is in force`;
	const message = `${winner}; look at it, then make the change again from that version`;
	return {kind: changeErrorKinds.conflict, message, current};
}

function createReused(changeId: string): ChangeError {
	const message = `the change id ${changeId} was used for another change; choose a new one`;
	return {kind: changeErrorKinds.changeIdReused, message};
}

type Content = {readonly text: string; readonly document: ConfigurationDocument};

function readContent(
	present: StoredConfiguration | undefined,
	change: Change,
): Result<Content, ChangeError> {
	if (change.content.kind === 'document') {
		return readDocument(change.content.text, change.team);
	}

	if (present === undefined) {
		const message = `team ${change.team} has no configuration; apply a document first`;
		return err({kind: changeErrorKinds.noConfiguration, message});
	}

	return switchPreset(present, change.content.preset);
}

function switchPreset(
	present: StoredConfiguration,
	preset: string,
): Result<Content, ChangeError> {
	return readDocument(present.text, present.team).andThen(({document}) => {
		if (!Object.hasOwn(document.presets, preset)) {
			const names = Object.keys(document.presets).join(', ');
			const message = `no preset is named ${preset}; name one of: ${names}`;
			return err({kind: changeErrorKinds.unknownPreset, message});
		}

		return readDocument(setPresetInForce(present.text, preset), present.team);
	});
}

function readDocument(text: string, team: string): Result<Content, ChangeError> {
	const parsed = parseConfiguration(text).mapErr(createInvalid);
	return parsed.andThen(document => {
		if (document.team === team) {
			return ok({text, document});
		}

		const message = `the document is of team ${document.team}; name ${team} or use that team's token`;
		return err(createInvalid([{line: 1, place: 'team', message}]));
	});
}

function createInvalid(faults: readonly DocumentFault[]): ChangeError {
	const count = faults.length;
	const message = `the document has ${count} ${count === 1 ? 'fault' : 'faults'}; correct each and apply it again`;
	return {kind: changeErrorKinds.invalidDocument, message, faults};
}
