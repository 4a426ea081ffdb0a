/** Runs the effects requested by a follower and returns their results as events. */
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

/** An event of the configuration task. */
export type ConfigurationEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'heard'; readonly head: Head; readonly nodeId: string}
	| {readonly kind: 'storeRows'; readonly rows: readonly StoreRow[] | undefined}
	| {readonly kind: 'peerAnswer'; readonly answer: PeerAnswer}
	| {
			readonly kind: 'fetched';
			readonly head: Head;
			readonly source: DocumentSource;
			readonly documentVersion: DocumentVersion | undefined;
	  }
	| {readonly kind: 'accepted'; readonly documentVersion: DocumentVersion};

/**
 * Runs one effect.
 *
 * @param effect the effect
 * @param state the follower; only read
 * @param options the node's table, peers and gossip
 * @returns the resulting event, if any
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
			return {
				kind: 'fetched',
				head,
				source,
				documentVersion: await fetchDocument(effect, options),
			};
		}

		case 'publish': {
			options.publishVersion(toRowKey(effect.head.team), effect.head.version);
			return undefined;
		}

		case 'logInvalid': {
			const {team, version} = effect.documentVersion;
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
		// Each page names the key where the next one starts.
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

async function fetchDocument(
	effect: Extract<FollowerEffect, {kind: 'fetch'}>,
	options: ConfigurationOptions,
): Promise<DocumentVersion | undefined> {
	if (effect.source.kind === 'peer') {
		const member = options.findMember(effect.source.nodeId);
		return member && options.peers.fetch(member, effect.head);
	}

	const row = await options.table?.read(toRowKey(effect.head.team));
	return row?.isOk() && row.value !== undefined ? parseRow(row.value) : undefined;
}

function parseRow(row: TableRow): DocumentVersion | undefined {
	const stored = parseStoredConfiguration(row.value);
	return stored.isOk() ? toDocumentVersion(stored.value, row.version) : undefined;
}
