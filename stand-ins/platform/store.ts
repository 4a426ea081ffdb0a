/**
 * A stand-in for the platform's store: rows with a single version counter, conditional
 * transactions, and a long-polled feed of changes. While unavailable, it answers every request
 * with status 503 and changes nothing. It can come back from an older copy, in a new era.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';

/** What the steady clock shows when the process starts. */
const clockStart = 1_000_000;

type Row = {
	table: string;
	part: string;
	key: string;
	value?: string;
	ver: number;
	tombstone?: true;
};
type RowKey = {readonly table: string; readonly part: string; readonly key: string};
type Transaction = {
	readonly 'expected-rev'?: ReadonlyArray<RowKey & {readonly ver: number}>;
	readonly puts?: ReadonlyArray<RowKey & {readonly value: string}>;
};

/** Rows and version counter at one moment. */
export type StoreCopy = {
	readonly rows: ReadonlyMap<string, Row>;
	readonly version: number;
};

export type StandInStore = {
	/** The HTTP server; the caller makes it listen. */
	readonly server: Server;
	/** Writes a configuration document, as an operator would. */
	readonly putConfiguration: (document: unknown) => void;
	/** Evacuates a failure domain, as an operator would. */
	readonly putEvacuation: (domain: string) => void;
	/** Takes a failure domain back. */
	readonly removeEvacuation: (domain: string) => void;
	/** Limits the rows of a page. */
	readonly setPageLength: (rows: number) => void;
	readonly setUnavailable: (isUnavailable: boolean) => void;
	readonly takeCopy: () => StoreCopy;
	/** Returns to a copy: what was written since is gone, and its versions are given out again. */
	readonly restore: (copy: StoreCopy) => void;
	/** Version of the newest change. */
	readonly version: () => number;
	/** Delays each response; 0 for no delay. */
	readonly setDelay: (milliseconds: number) => void;
	/** Writes this text in place of each response; undefined for normal responses. */
	readonly answerRaw: (text: string | undefined) => void;
	/** Applies each request, then closes its connection instead of responding. */
	readonly setResponseLoss: (isLosingResponses: boolean) => void;
};

/** @returns a store without rows */
export function createStandInStore(): StandInStore {
	const rows = new Map<string, Row>();
	const feedListeners = new Set<() => void>();
	const state = {
		version: 0,
		era: 1,
		isUnavailable: false,
		delay: 0,
		isLosingResponses: false,
		pageLength: Number.POSITIVE_INFINITY,
		rawAnswer: undefined as string | undefined,
	};

	function putRow(entry: RowKey & {readonly value: string}): void {
		const {table, part, key, value} = entry;
		changeRow({table, part, key, value});
	}

	/** Removed rows stay in the history of the feed. */
	function changeRow(change: Omit<Row, 'ver'>): void {
		state.version += 1;
		rows.set(serializeKey(change), {...change, ver: state.version});
		for (const sendIfChanged of feedListeners) {
			sendIfChanged();
		}
	}

	function listRows(query: URLSearchParams): Row[] {
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? '\u{10FFFF}';
		return [...rows.values()]
			.filter(
				({table, key, tombstone}) =>
					table === query.get('table') && key >= from && key < to && !tombstone,
			)
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
	}

	function handleFeed(query: URLSearchParams, response: ServerResponse): void {
		const after = Number(query.get('after'));
		if (after > state.version) {
			respond(response, 410, {});
			return;
		}

		const findChanged = () =>
			[...rows.values()].filter(
				({table, ver}) => table === query.get('table') && ver > after,
			);
		const sendIfChanged = (): void => {
			const changed = findChanged();
			if (changed.length > 0) {
				finish(changed);
			}
		};

		const finish = (changed: readonly Row[]): void => {
			feedListeners.delete(sendIfChanged);
			clearTimeout(timer);
			respond(response, 200, {rows: changed, ver: state.version});
		};

		const timer = setTimeout(finish, Number(query.get('wait-ms')), []);
		response.once('close', () => {
			feedListeners.delete(sendIfChanged);
			clearTimeout(timer);
		});
		feedListeners.add(sendIfChanged);
		sendIfChanged();
	}

	function findVersion(key: RowKey): number {
		const row = rows.get(serializeKey(key));
		return row === undefined || row.tombstone ? 0 : row.ver;
	}

	function handleTransaction(body: Transaction, response: ServerResponse): void {
		const areConditionsMet = (body['expected-rev'] ?? []).every(
			entry => findVersion(entry) === entry.ver,
		);
		if (!areConditionsMet) {
			respond(response, 412, {rows: []});
			return;
		}

		for (const entry of body.puts ?? []) {
			putRow(entry);
		}

		respond(response, 200, {ver: state.version});
	}

	function respond(
		response: ServerResponse,
		status: number,
		body: Record<string, unknown>,
	): void {
		setTimeout(() => {
			if (state.isLosingResponses) {
				response.destroy();
				return;
			}

			response.writeHead(status, {
				'content-type': 'application/json',
				'store-era': String(state.era),
			});
			const times = {'now-ms': Math.round(performance.now() + clockStart)};
			response.end(JSON.stringify({...body, ...times}));
		}, state.delay);
	}

	const server = createServer((request, response) => {
		if (state.rawAnswer !== undefined) {
			request.resume();
			request.socket.write(Buffer.from(state.rawAnswer, 'latin1'));
			return;
		}

		if (state.isUnavailable) {
			respond(response, 503, {});
			return;
		}

		const url = new URL(request.url!, 'http://store');
		if (url.pathname === '/rows-feed') {
			handleFeed(url.searchParams, response);
			return;
		}

		if (url.pathname === '/rows-get') {
			const listed = listRows(url.searchParams);
			respond(response, 200, {
				rows: listed.slice(0, state.pageLength),
				ver: state.version,
				'more-pages': listed.length > state.pageLength,
			});
			return;
		}

		void readJson(request).then(body => {
			handleTransaction(body as Transaction, response);
		});
	});
	return {
		server,
		putConfiguration(document) {
			const value = Buffer.from(JSON.stringify(document)).toString('base64');
			putRow({table: 'op', part: '', key: 'config', value});
		},
		putEvacuation(domain) {
			putRow({table: 'op', part: '', key: `evacuate/${domain}`, value: ''});
		},
		removeEvacuation(domain) {
			changeRow({table: 'op', part: '', key: `evacuate/${domain}`, tombstone: true});
		},
		setPageLength(length) {
			state.pageLength = length;
		},
		setUnavailable(isUnavailable) {
			state.isUnavailable = isUnavailable;
		},
		takeCopy: () => ({rows: new Map(rows), version: state.version}),
		restore(copy) {
			rows.clear();
			for (const [key, row] of copy.rows) {
				rows.set(key, row);
			}

			state.version = copy.version;
			state.era += 1;
			server.closeAllConnections();
		},
		version: () => state.version,
		setDelay(milliseconds) {
			state.delay = milliseconds;
		},
		answerRaw(text) {
			state.rawAnswer = text;
		},
		setResponseLoss(isLosingResponses) {
			state.isLosingResponses = isLosingResponses;
		},
	};
}

function serializeKey({table, part, key}: RowKey): string {
	return JSON.stringify([table, part, key]);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
}
