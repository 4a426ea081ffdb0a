/**
 * The documents that a node has in force. A document is taken whole, after its checks, and only
 * when its version is higher than the one held, so that a version never goes down in a node's
 * life, whatever order documents arrive in.
 */
import {parseConfiguration} from './document.js';
import type {ConfigurationDocument} from './schema.js';
import {computeDigest} from './stored.js';

/** Which version of a team's document someone holds. */
export type Head = {readonly team: string; readonly version: number};

/** A document offered to the node, from the table or from another node. */
export type DocumentVersion = Head & {
	readonly changeId: string;
	readonly text: string;
	/** Version of the table's row that holds the document; opaque, only the same or another. */
	readonly rowVersion: string;
};

/** A document in force. */
export type AppliedDocument = DocumentVersion & {
	readonly document: ConfigurationDocument;
	/** Wall clock at which it came in force here, milliseconds since 1970. */
	readonly appliedAt: number;
};

/** What became of an offer. */
export const applyOutcomes = {
	applied: 'applied',
	/** The node holds this version or a higher one. */
	notHigher: 'not-higher',
	/** The document breaks its rules; the one held stays. */
	invalid: 'invalid',
} as const;

export type ApplyOutcome = (typeof applyOutcomes)[keyof typeof applyOutcomes];

/** Documents in force, by team; `digest` sums up their versions. */
export type AppliedDocuments = {
	readonly byTeam: Map<string, AppliedDocument>;
	digest: string;
};

export function createAppliedDocuments(): AppliedDocuments {
	return {byTeam: new Map(), digest: computeDigest('')};
}

/**
 * Takes an offered document if it is higher and sound; changes the holding in place.
 *
 * @param holding the documents in force
 * @param offer the document offered
 * @param wallClock milliseconds since 1970
 */
export function applyDocument(
	holding: AppliedDocuments,
	offer: DocumentVersion,
	wallClock: number,
): ApplyOutcome {
	if (offer.version <= getAppliedVersion(holding, offer.team)) {
		return applyOutcomes.notHigher;
	}

	const parsed = parseConfiguration(offer.text);
	if (parsed.isErr() || parsed.value.team !== offer.team) {
		return applyOutcomes.invalid;
	}

	const held = {...offer, document: parsed.value, appliedAt: wallClock};
	holding.byTeam.set(offer.team, held);
	holding.digest = computeDigest(
		listHeads(holding)
			.map(({team, version}) => `${team}=${version}`)
			.join('\n'),
	);
	return applyOutcomes.applied;
}

/** Version held of a team's document, 0 for none. */
export function getAppliedVersion(holding: AppliedDocuments, team: string): number {
	return holding.byTeam.get(team)?.version ?? 0;
}

/** Versions held, in the order of the teams' names. */
export function listHeads(holding: AppliedDocuments): Head[] {
	return [...holding.byTeam.values()]
		.map(({team, version}) => ({team, version}))
		.toSorted((left, right) => (left.team < right.team ? -1 : 1));
}
