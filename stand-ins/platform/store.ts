/**
 * A stand-in for the platform's store: rows with one version counter, transactions under
 * conditions, and a feed of changes. It can be away, when it answers 503 and does nothing.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';

type Row = {table: string; part: string; key: string; value: string; ver: number};
type Entry = {readonly table: string; readonly part: string; readonly key: string};
type Transaction = {
	readonly 'expected-rev'?: ReadonlyArray<Entry & {readonly ver: number}>;
	readonly puts?: ReadonlyArray<Entry & {readonly value: string}>;
};

export type StandInStore = {
	/** The caller binds it. */
	readonly server: Server;
	/** Puts a configuration document, as an operator does. */
	readonly putConfiguration: (document: unknown) => void;
	readonly setUnavailable: (away: boolean) => void;
	/** Delays each answer; 0 for none. */
	readonly setDelay: (milliseconds: number) => void;
	/** Performs each call and breaks its connection in place of an answer. */
	readonly setResponseLoss: (isLosing: boolean) => void;
};

/** @returns a store without rows */
export function createStandInStore(): StandInStore {
	const rows = new Map<string, Row>();
	const waiting = new Set<() => void>();
	const state = {version: 0, away: false, delay: 0, isLosing: false};

	function put(entry: Entry & {readonly value: string}): void {
		state.version += 1;
		const {table, part, key, value} = entry;
		rows.set(nameOf(entry), {table, part, key, value, ver: state.version});
		for (const wake of waiting) {
			wake();
		}
	}

	function list(query: URLSearchParams): Row[] {
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? '\u{10FFFF}';
		return [...rows.values()]
			.filter(({table, key}) => table === query.get('table') && key >= from && key < to)
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
	}

	function feed(query: URLSearchParams, response: ServerResponse): void {
		const after = Number(query.get('after'));
		const find = () =>
			[...rows.values()].filter(
				({table, ver}) => table === query.get('table') && ver > after,
			);
		const wake = (): void => {
			const changed = find();
			if (changed.length > 0) {
				finish(changed);
			}
		};

		const finish = (changed: readonly Row[]): void => {
			waiting.delete(wake);
			clearTimeout(timer);
			answer(response, 200, {rows: changed, ver: state.version});
		};

		const timer = setTimeout(finish, Number(query.get('wait-ms')), []);
		response.once('close', () => {
			waiting.delete(wake);
			clearTimeout(timer);
		});
		waiting.add(wake);
		wake();
	}

	function transact(body: Transaction, response: ServerResponse): void {
		const isMet = (body['expected-rev'] ?? []).every(
			entry => (rows.get(nameOf(entry))?.ver ?? 0) === entry.ver,
		);
		if (!isMet) {
			answer(response, 412, {rows: []});
			return;
		}

		for (const entry of body.puts ?? []) {
			put(entry);
		}

		answer(response, 200, {ver: state.version});
	}

	function answer(response: ServerResponse, status: number, body: unknown): void {
		setTimeout(() => {
			if (state.isLosing) {
				response.destroy();
				return;
			}

			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body));
		}, state.delay);
	}

	const server = createServer((request, response) => {
		if (state.away) {
			answer(response, 503, {});
			return;
		}

		const url = new URL(request.url!, 'http://store');
		if (url.pathname === '/rows-feed') {
			feed(url.searchParams, response);
			return;
		}

		if (url.pathname === '/rows-get') {
			answer(response, 200, {
				rows: list(url.searchParams),
				ver: state.version,
				'more-pages': false,
			});
			return;
		}

		void readJson(request).then(body => {
			transact(body as Transaction, response);
		});
	});
	return {
		server,
		putConfiguration(document) {
			const value = Buffer.from(JSON.stringify(document)).toString('base64');
			put({table: 'op', part: '', key: 'config', value});
		},
		setUnavailable(away) {
			state.away = away;
		},
		setDelay(milliseconds) {
			state.delay = milliseconds;
		},
		setResponseLoss(isLosing) {
			state.isLosing = isLosing;
		},
	};
}

function nameOf({table, part, key}: Entry): string {
	return JSON.stringify([table, part, key]);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
}
