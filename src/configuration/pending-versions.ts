/**
 * Versions that were reported but are not applied, and the sources of their documents, which are
 * tried in turn: other nodes first, then the table.
 */
import type {FollowerEffect, FollowerState, DocumentSource} from './follower-state.js';
import {getAppliedVersion, type Head} from './applied-documents.js';

const maximumSources = 4;

/** Adds a source of a version; a higher version replaces a lower one. */
export function addPendingVersion(
	state: FollowerState,
	head: Head,
	source: DocumentSource,
	now: number,
): void {
	const pending = state.pendingVersions.get(head.team);
	if (pending === undefined || head.version > pending.version || pending.isGuess) {
		const added = {
			version: head.version,
			sources: [source],
			retryAt: now,
			isGuess: false,
		};
		state.pendingVersions.set(head.team, added);
		return;
	}

	if (head.version < pending.version) {
		return;
	}

	pending.retryAt = now;
	if (pending.sources.length < maximumSources) {
		pending.sources.push(source);
	}
}

/** Adds a pending version if the table lists a row other than the applied one. */
export function compareWithStore(state: FollowerState, team: string, now: number): void {
	const rowVersion = state.storeRows.get(team);
	const applied = state.applied.byTeam.get(team);
	if (rowVersion === undefined || rowVersion === applied?.rowVersion) {
		state.storeRows.delete(team);
		if (state.pendingVersions.get(team)?.isGuess) {
			state.pendingVersions.delete(team);
		}

		return;
	}

	const pending = state.pendingVersions.get(team);
	if (pending !== undefined) {
		pending.sources.push({kind: 'store'});
		pending.sources = pending.sources.slice(-maximumSources);
		return;
	}

	const version = (applied?.version ?? 0) + 1;
	const retryAt = now + state.parameters.storeFetchDelayMilliseconds;
	state.pendingVersions.set(team, {
		version,
		sources: [{kind: 'store'}],
		retryAt,
		isGuess: true,
	});
}

/** Fetches from the next source if the retry time has come; nodes come before the table. */
export function fetchIfDue(
	state: FollowerState,
	team: string,
	now: number,
): FollowerEffect[] {
	const pending = state.pendingVersions.get(team);
	if (pending === undefined || state.fetching.has(team) || now < pending.retryAt) {
		return [];
	}

	const peerIndex = pending.sources.findIndex(source => source.kind === 'peer');
	const [source] = pending.sources.splice(Math.max(0, peerIndex), 1);
	if (source === undefined) {
		return [];
	}

	const head = {team, version: pending.version};
	state.fetching.add(team);
	state.counters[source.kind === 'store' ? 'storeReads' : 'peerFetches'] += 1;
	return [{kind: 'fetch', head, source}];
}

/** Sets the retry time after a failed fetch or an invalid document. */
export function postponeFetch(state: FollowerState, team: string, now: number): void {
	const pending = state.pendingVersions.get(team);
	if (pending !== undefined) {
		pending.retryAt = now + state.parameters.fetchRetryMilliseconds;
	}
}

/** Removes a version that is applied now, or a guessed one once the table's row has been read. */
export function removeResolvedVersion(
	state: FollowerState,
	team: string,
	sourceKind: DocumentSource['kind'],
): void {
	const pending = state.pendingVersions.get(team);
	const isApplied =
		pending !== undefined && pending.version <= getAppliedVersion(state.applied, team);
	if (isApplied || (sourceKind === 'store' && pending?.isGuess)) {
		state.pendingVersions.delete(team);
	}

	if (sourceKind === 'store') {
		state.storeRows.delete(team);
	}
}
