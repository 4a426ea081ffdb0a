/**
 * The documents applied at a node. A document is applied as a whole, after validation, and only if
 * its version is higher than the applied one, so versions never decrease during a node's lifetime,
 * in whatever order documents arrive.
 */
import {parseConfiguration} from './document.js';
import type {ConfigurationDocument} from './schema.js';
import {computeDigest} from './stored.js';

/** The version of a team's document that a node has applied. */
export type Head = {readonly team: string; readonly version: number};

/** A version of a team's document as it comes from the table or another node. */
export type DocumentVersion = Head & {
	readonly changeId: string;
	readonly text: string;
	/** Version of the table's row with the document; opaque, can only be compared for equality. */
	readonly rowVersion: string;
};

/** A document applied at this node. */
export type AppliedDocument = DocumentVersion & {
	readonly document: ConfigurationDocument;
	/** Wall clock of this node, milliseconds since 1970. */
	readonly appliedAt: number;
};

export const applyOutcomes = {
	applied: 'applied',
	/** The node has applied this version or a higher one. */
	notHigher: 'not-higher',
	/** The document is invalid; the applied one is kept. */
	invalid: 'invalid',
} as const;

export type ApplyOutcome = (typeof applyOutcomes)[keyof typeof applyOutcomes];

/** The applied documents by team, and a digest of their versions. */
export type AppliedDocuments = {
	readonly byTeam: Map<string, AppliedDocument>;
	digest: string;
};

export function createAppliedDocuments(): AppliedDocuments {
	return {byTeam: new Map(), digest: computeDigest('')};
}

/**
 * Applies a document if its version is higher and it is valid.
 *
 * @param applied the applied documents, changed in place
 * @param documentVersion the document to apply
 * @param wallClock milliseconds since 1970
 */
export function applyDocument(
	applied: AppliedDocuments,
	documentVersion: DocumentVersion,
	wallClock: number,
): ApplyOutcome {
	if (documentVersion.version <= getAppliedVersion(applied, documentVersion.team)) {
		return applyOutcomes.notHigher;
	}

	const parsed = parseConfiguration(documentVersion.text);
	if (parsed.isErr() || parsed.value.team !== documentVersion.team) {
		return applyOutcomes.invalid;
	}

	const appliedDocument = {
		...documentVersion,
		document: parsed.value,
		appliedAt: wallClock,
	};
	applied.byTeam.set(documentVersion.team, appliedDocument);
	applied.digest = computeDigest(
		listHeads(applied)
			.map(({team, version}) => `${team}=${version}`)
			.join('\n'),
	);
	return applyOutcomes.applied;
}

/** Applied version of a team's document, 0 for none. */
export function getAppliedVersion(applied: AppliedDocuments, team: string): number {
	return applied.byTeam.get(team)?.version ?? 0;
}

/** Applied versions, sorted by team. */
export function listHeads(applied: AppliedDocuments): Head[] {
	return [...applied.byTeam.values()]
		.map(({team, version}) => ({team, version}))
		.toSorted((left, right) => (left.team < right.team ? -1 : 1));
}
