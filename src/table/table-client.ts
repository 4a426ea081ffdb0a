/**
 * Client of the platform's table service over HTTP.
 *
 * The contract, as the service publishes it:
 *
 * - `GET /rows/KEY` answers 200 with the value and its version as `ETag`, or 404.
 * - `GET /rows?prefix=P&after=KEY&limit=N` answers 200 with
 *   `{"rows": [{"key", "value", "version"}], "next": KEY}` in the order of keys; `next` is absent on
 *   the last page. With `fields=version` the rows come without their values.
 * - `PUT /rows/KEY` with the value as body and either `If-None-Match: *` or `If-Match: "VERSION"`
 *   answers 200 or 201 with the new version as `ETag`. `DELETE /rows/KEY` with `If-Match` answers 204.
 * - A condition that is not met answers 412, with the present value and its `ETag` if there is a row.
 *   A change without a condition answers 428.
 * - 503 and 429 mean that the request had no effect.
 * - Reads see every write that was answered before they were sent.
 *
 * A request that may have arrived without an answer fails as `timed-out`: its effect is unknown.
 */
import {Buffer} from 'node:buffer';
import {Agent, type OutgoingHttpHeaders} from 'node:http';
import {Agent as SecureAgent} from 'node:https';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {sendExchange, type ExchangeResponse} from './exchange.js';
import {
	createConflict,
	createRejected,
	createUnavailable,
	type TableError,
	type TableRow,
} from './table-error.js';

const defaultTimeoutMilliseconds = 2000;
const maximumConnections = 8;

/** What a row must be for a change to take effect. */
export type WriteCondition =
	{readonly kind: 'absent'} | {readonly kind: 'version'; readonly version: string};

/** Which rows a list gives. */
export type ListRequest = {
	readonly prefix: string;
	/** Gives only rows after this key. */
	readonly after?: string;
	readonly limit?: number;
	/** Gives the rows with empty values, which costs far less. */
	readonly versionsOnly?: boolean;
};

export type TablePage = {
	/** In the order of their keys. */
	readonly rows: readonly TableRow[];
	/** The key to go on after; absent on the last page. */
	readonly next?: string;
};

/** The table service. Calls never throw; they are bounded in time. */
export type TableClient = {
	/** Reads a row; `undefined` when there is none. */
	readonly read: (key: string) => Promise<Result<TableRow | undefined, TableError>>;
	readonly list: (request: ListRequest) => Promise<Result<TablePage, TableError>>;
	/** Writes a row under a condition and gives it with its new version. */
	readonly write: (
		key: string,
		value: string,
		condition: WriteCondition,
	) => Promise<Result<TableRow, TableError>>;
	/** Removes a row that still has the version. */
	readonly remove: (key: string, version: string) => Promise<Result<void, TableError>>;
	/** Closes the connections that are kept. */
	readonly close: () => void;
};

export type TableClientOptions = {
	/** Address of the service, such as `http://10.0.0.5:8080`. */
	readonly address: string;
	/** Time for each call, in milliseconds. */
	readonly timeoutMilliseconds?: number;
};

const pageSchema = z.object({
	rows: z.array(
		z.object({key: z.string(), value: z.string().default(''), version: z.string()}),
	),
	next: z.string().optional(),
});

type Send = (
	method: string,
	path: string,
	headers?: OutgoingHttpHeaders,
	body?: string,
) => Promise<Result<ExchangeResponse, TableError>>;

/**
 * Creates a client that keeps a few connections open.
 *
 * @param options where the service stands and how long a call may take
 * @returns the client
 */
export function createTableClient(options: TableClientOptions): TableClient {
	const timeoutMilliseconds = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
	const isSecure = options.address.startsWith('https:');
	const agentOptions = {keepAlive: true, maxSockets: maximumConnections};
	const agent = isSecure ? new SecureAgent(agentOptions) : new Agent(agentOptions);
	const send: Send = async (method, path, headers, body) => {
		const url = new URL(path, options.address);
		return sendExchange({url, method, headers, body, agent, timeoutMilliseconds});
	};

	return {
		read: async key => read(send, key),
		list: async request => list(send, request),
		write: async (key, value, condition) => write(send, key, value, condition),
		remove: async (key, version) => remove(send, key, version),
		close() {
			agent.destroy();
		},
	};
}

async function read(send: Send, key: string) {
	const answer = await send('GET', toPath(key));
	return answer.andThen(({status, headers, body}) => {
		if (status === 404) {
			return ok(undefined);
		}

		return status === 200
			? ok({key, value: body, version: readVersion(headers.etag)})
			: err(createStatusError(status, body));
	});
}

async function list(send: Send, request: ListRequest) {
	const query = new URLSearchParams({prefix: request.prefix});
	if (request.after !== undefined) {
		query.set('after', request.after);
	}

	if (request.limit !== undefined) {
		query.set('limit', String(request.limit));
	}

	if (request.versionsOnly) {
		query.set('fields', 'version');
	}

	const answer = await send('GET', `/rows?${query.toString()}`);
	return answer.andThen(({status, body}) =>
		status === 200 ? readPage(body) : err(createStatusError(status, body)),
	);
}

async function write(send: Send, key: string, value: string, condition: WriteCondition) {
	const headers = {
		...toHeaders(condition),
		'content-type': 'application/octet-stream',
		'content-length': Buffer.byteLength(value),
	};
	const answer = await send('PUT', toPath(key), headers, value);
	return answer.andThen(given =>
		given.status === 200 || given.status === 201
			? ok({key, value, version: readVersion(given.headers.etag)})
			: err(createWriteError(key, given)),
	);
}

async function remove(send: Send, key: string, version: string) {
	const headers = toHeaders({kind: 'version', version});
	const answer = await send('DELETE', toPath(key), headers);
	return answer.andThen(given =>
		given.status === 204 ? ok(undefined) : err(createWriteError(key, given)),
	);
}

function toPath(key: string): string {
	return `/rows/${encodeURIComponent(key)}`;
}

function toHeaders(condition: WriteCondition): OutgoingHttpHeaders {
	return condition.kind === 'absent'
		? {'if-none-match': '*'}
		: {'if-match': `"${condition.version}"`};
}

function readVersion(etag: string | undefined): string {
	return (etag ?? '').replaceAll('"', '');
}

function readPage(body: string): Result<TablePage, TableError> {
	try {
		return ok(pageSchema.parse(JSON.parse(body)));
	} catch (error) {
		return err(createUnavailable(`list not understood: ${String(error)}`));
	}
}

function createWriteError(key: string, answer: ExchangeResponse): TableError {
	if (answer.status !== 412) {
		return createStatusError(answer.status, answer.body);
	}

	const {etag} = answer.headers;
	return createConflict(
		etag === undefined
			? undefined
			: {key, value: answer.body, version: readVersion(etag)},
	);
}

function createStatusError(status: number, body: string): TableError {
	return status === 503 || status === 429
		? createUnavailable(`status ${status}`)
		: createRejected(status, body.slice(0, 200));
}
