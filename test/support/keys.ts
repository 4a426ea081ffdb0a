/** Sends keyed calls and counts how often the servers ran them. */
import {Buffer} from 'node:buffer';
import {sendCall, type CallAnswer} from './http.js';
import {readJournal, startMesh, type MeshNode, type MeshNodeOptions} from './mesh.js';
import {startProcess, type Cleaner} from './processes.js';

export type KeyedMesh = {
	readonly nodes: readonly [MeshNode, MeshNode];
	readonly setTableFaults: (faults: unknown) => Promise<void>;
	readonly tablePort: number;
};

const service = 'booking';

/**
 * Starts two nodes, each with a server, and the stand-in table.
 *
 * @param cleaner the test, which ends the processes when it is over
 * @param options settings of both nodes and their servers
 * @returns the nodes, and control over the table's faults
 */
export async function startKeyedMesh(
	cleaner: Cleaner,
	options: Omit<MeshNodeOptions, 'service'> = {},
): Promise<KeyedMesh> {
	const table = await startProcess<{port: number}>(cleaner, 'stand-in-table', []);
	const tablePort = table.ready.port;
	const platform = {table: `http://127.0.0.1:${tablePort}`};
	const node = {service, ...options};
	const [first, second] = await startMesh(cleaner, [node, node], {platform});
	return {
		nodes: [first!, second!],
		tablePort,
		async setTableFaults(faults) {
			await fetch(`http://127.0.0.1:${tablePort}/faults`, {
				method: 'PUT',
				body: JSON.stringify(faults),
			});
		},
	};
}

/** Sends a keyed booking call. */
export async function book(
	node: MeshNode,
	key: string,
	extra: {
		readonly body?: string;
		readonly sending?: number;
		readonly service?: string;
		readonly path?: string;
		readonly deadlineMilliseconds?: number;
	} = {},
): Promise<CallAnswer> {
	return sendCall({
		port: node.dataPort,
		service: extra.service ?? service,
		method: 'POST',
		path: extra.path ?? '/bookings',
		headers: {
			'idempotency-key': key,
			...(extra.deadlineMilliseconds && {
				'foxtailtide-deadline-ms': String(extra.deadlineMilliseconds),
			}),
			...(extra.sending && {'foxtailtide-sending': String(extra.sending)}),
		},
		body: extra.body ?? 'bay 1',
	});
}

/** Sends a keyed booking call and returns the execution outcome that the caller is told. */
export async function bookForOutcome(
	...parameters: Parameters<typeof book>
): Promise<string> {
	const {outcome} = await book(...parameters);
	return outcome;
}

/** Requests an issued key, or the prefix of a block of keys, from a node. */
export async function requestKey(node: MeshNode, block = false): Promise<string> {
	const answer = await sendCall({
		port: node.dataPort,
		service,
		method: 'POST',
		path: `/foxtailtide/keys${block ? '?block=1' : ''}`,
	});
	const document = JSON.parse(Buffer.from(answer.body).toString('utf8')) as {key: string};
	return document.key;
}

/** Counts the runs of a key on all servers. */
export async function countRuns(
	nodes: readonly MeshNode[],
	key: string,
): Promise<number> {
	const journals = await Promise.all(nodes.map(readJournal));
	return journals.flat().filter(entry => entry.key === key).length;
}
