/**
 * Versions that a follower heard of and does not hold, and the sources of their documents, which
 * are tried in turn: other nodes first, the table when no node has the document.
 */
import type {FollowerEffect, FollowerState, DocumentSource} from './follower-state.js';
import {getAppliedVersion, type Head} from './applied-documents.js';

const maximumSources = 4;

/** Notes that a source offers a version; a newer one takes the place of an older. */
export function addPendingVersion(
	state: FollowerState,
	head: Head,
	source: DocumentSource,
	now: number,
): void {
	const known = state.pendingVersions.get(head.team);
	if (known === undefined || head.version > known.version || known.isGuess) {
		const heard = {
			version: head.version,
			sources: [source],
			retryAt: now,
			isGuess: false,
		};
		state.pendingVersions.set(head.team, heard);
		return;
	}

	if (head.version < known.version) {
		return;
	}

	known.retryAt = now;
	if (known.sources.length < maximumSources) {
		known.sources.push(source);
	}
}

/** Looks for another document than the one in force if the table listed another row. */
export function compareWithStore(state: FollowerState, team: string, now: number): void {
	const rowVersion = state.storeRows.get(team);
	const held = state.applied.byTeam.get(team);
	if (rowVersion === undefined || rowVersion === held?.rowVersion) {
		state.storeRows.delete(team);
		if (state.pendingVersions.get(team)?.isGuess) {
			state.pendingVersions.delete(team);
		}

		return;
	}

	const known = state.pendingVersions.get(team);
	if (known !== undefined) {
		known.sources.push({kind: 'store'});
		known.sources = known.sources.slice(-maximumSources);
		return;
	}

	const version = (held?.version ?? 0) + 1;
	const retryAt = now + state.parameters.storeFetchDelayMilliseconds;
	state.pendingVersions.set(team, {
		version,
		sources: [{kind: 'store'}],
		retryAt,
		isGuess: true,
	});
}

/** Takes the next source in turn; documents come from nodes before they come from the table. */
export function fetchIfDue(
	state: FollowerState,
	team: string,
	now: number,
): FollowerEffect[] {
	const heard = state.pendingVersions.get(team);
	if (heard === undefined || state.fetching.has(team) || now < heard.retryAt) {
		return [];
	}

	const position = heard.sources.findIndex(source => source.kind === 'peer');
	const [source] = heard.sources.splice(Math.max(0, position), 1);
	if (source === undefined) {
		return [];
	}

	const head = {team, version: heard.version};
	state.fetching.add(team);
	state.counters[source.kind === 'store' ? 'storeReads' : 'peerFetches'] += 1;
	return [{kind: 'fetch', head, source}];
}

/** Leaves a version alone for a while after a try that brought nothing. */
export function postponeFetch(state: FollowerState, team: string, now: number): void {
	const heard = state.pendingVersions.get(team);
	if (heard !== undefined) {
		heard.retryAt = now + state.parameters.fetchRetryMilliseconds;
	}
}

/** Forgets what was heard and is in force now, or was a guess that the table has ended. */
export function removeResolvedVersion(
	state: FollowerState,
	team: string,
	sourceKind: DocumentSource['kind'],
): void {
	const heard = state.pendingVersions.get(team);
	const isHeld =
		heard !== undefined && heard.version <= getAppliedVersion(state.applied, team);
	if (isHeld || (sourceKind === 'store' && heard?.isGuess)) {
		state.pendingVersions.delete(team);
	}

	if (sourceKind === 'store') {
		state.storeRows.delete(team);
	}
}
