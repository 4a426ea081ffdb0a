/** Carries out what a follower asks for, and tells the results as events. */
import type {TableClient, TableRow} from '../table/index.js';
import type {ConfigurationOptions} from './configuration.js';
import type {
	FollowerEffect,
	FollowerState,
	PeerAnswer,
	DocumentSource,
	StoreRow,
} from './follower-state.js';
import type {Head, DocumentVersion} from './applied-documents.js';
import {
	configurationKeyPrefix,
	toDocumentVersion,
	parseStoredConfiguration,
	toRowKey,
	toTeamName,
} from './stored.js';

/** What the configuration task is told. */
export type ConfigurationEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'heard'; readonly head: Head; readonly nodeId: string}
	| {readonly kind: 'storeRows'; readonly rows: readonly StoreRow[] | undefined}
	| {readonly kind: 'peerAnswer'; readonly answer: PeerAnswer}
	| {
			readonly kind: 'fetched';
			readonly head: Head;
			readonly source: DocumentSource;
			readonly offer: DocumentVersion | undefined;
	  }
	| {readonly kind: 'accepted'; readonly offer: DocumentVersion};

/**
 * Carries out one effect.
 *
 * @param effect what the follower asks for
 * @param state the follower; only read
 * @param options the node's table, peers and news
 * @returns the event to tell, `undefined` if there is none
 */
export async function runEffect(
	effect: FollowerEffect,
	state: FollowerState,
	options: ConfigurationOptions,
): Promise<ConfigurationEvent | undefined> {
	switch (effect.kind) {
		case 'listStore': {
			const rows = options.table && (await listStore(options.table));
			return {kind: 'storeRows', rows};
		}

		case 'askPeer': {
			return askPeer(effect.nodeId, state, options);
		}

		case 'fetch': {
			const {head, source} = effect;
			return {kind: 'fetched', head, source, offer: await fetchOffer(effect, options)};
		}

		case 'publish': {
			options.publishVersion(toRowKey(effect.head.team), effect.head.version);
			return undefined;
		}

		case 'logInvalid': {
			const {team, version} = effect.offer;
			options.log.warn('configuration refused: it breaks the rules of this node', {
				team,
				version,
			});
			return undefined;
		}
	}
}

/** Lists the rows of all teams without their values. */
async function listStore(table: TableClient): Promise<StoreRow[] | undefined> {
	const rows: StoreRow[] = [];
	let after: string | undefined;
	do {
		// Each page tells where the next one begins.
		// eslint-disable-next-line no-await-in-loop
		const page = await table.list({
			prefix: configurationKeyPrefix,
			after,
			versionsOnly: true,
		});
		if (page.isErr()) {
			return undefined;
		}

		for (const {key, version} of page.value.rows) {
			rows.push({team: toTeamName(key), rowVersion: version});
		}

		after = page.value.next;
	} while (after !== undefined);

	return rows;
}

async function askPeer(
	nodeId: string,
	state: FollowerState,
	options: ConfigurationOptions,
): Promise<ConfigurationEvent | undefined> {
	const member = options.findMember(nodeId);
	const comparison =
		member && (await options.peers.compare(member, state.applied.digest));
	if (member === undefined || comparison === undefined) {
		return undefined;
	}

	const {isReady, heads} = comparison;
	const answer = {nodeId, failureDomain: member.failureDomain, isReady, heads};
	return {kind: 'peerAnswer', answer};
}

async function fetchOffer(
	effect: Extract<FollowerEffect, {kind: 'fetch'}>,
	options: ConfigurationOptions,
): Promise<DocumentVersion | undefined> {
	if (effect.source.kind === 'peer') {
		const member = options.findMember(effect.source.nodeId);
		return member && options.peers.fetch(member, effect.head);
	}

	const row = await options.table?.read(toRowKey(effect.head.team));
	return row?.isOk() && row.value !== undefined ? readOffer(row.value) : undefined;
}

function readOffer(row: TableRow): DocumentVersion | undefined {
	const stored = parseStoredConfiguration(row.value);
	return stored.isOk() ? toDocumentVersion(stored.value, row.version) : undefined;
}
