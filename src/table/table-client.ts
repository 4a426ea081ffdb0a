/**
 * Client of the platform's table service over HTTP.
 *
 * The API as published by the service:
 *
 * - `GET /rows/KEY` returns 200 with the value and its version as `ETag`, or 404.
 * - `GET /rows?prefix=P&after=KEY&limit=N` returns 200 with
 *   `{"rows": [{"key", "value", "version"}], "next": KEY}` in key order; `next` is absent on the
 *   last page. With `fields=version` the rows are returned without values.
 * - `PUT /rows/KEY` with the value as body and either `If-None-Match: *` or `If-Match: "VERSION"`
 *   returns 200 or 201 with the new version as `ETag`. `DELETE /rows/KEY` with `If-Match` returns 204.
 * - A failed condition returns 412, with the current value and its `ETag` if the row exists. A
 *   change without a condition returns 428.
 * - 503 and 429 mean that the request had no effect.
 * - A read sees every write that was answered before the read was sent.
 *
 * A request that may have arrived but got no response fails as `timed-out`: its effect is unknown.
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

/** Precondition on the row for a change to take effect. */
export type WriteCondition =
	{readonly kind: 'absent'} | {readonly kind: 'version'; readonly version: string};

/** Selects the rows to list. */
export type ListRequest = {
	readonly prefix: string;
	/** Lists only rows after this key. */
	readonly after?: string;
	readonly limit?: number;
	/** Lists the rows with empty values, which costs far less. */
	readonly versionsOnly?: boolean;
};

export type TablePage = {
	/** In key order. */
	readonly rows: readonly TableRow[];
	/** Value of `after` for the next page; absent on the last page. */
	readonly next?: string;
};

/** A client of the table service. Calls never throw, and each has a timeout. */
export type TableClient = {
	/** Reads a row; `undefined` if it does not exist. */
	readonly read: (key: string) => Promise<Result<TableRow | undefined, TableError>>;
	readonly list: (request: ListRequest) => Promise<Result<TablePage, TableError>>;
	/** Writes a row if the condition holds; returns the row with its new version. */
	readonly write: (
		key: string,
		value: string,
		condition: WriteCondition,
	) => Promise<Result<TableRow, TableError>>;
	/** Removes a row if it still has the version. */
	readonly remove: (key: string, version: string) => Promise<Result<void, TableError>>;
	/** Closes the kept-alive connections. */
	readonly close: () => void;
};

export type TableClientOptions = {
	/** Address of the service, such as `http://10.0.0.5:8080`. */
	readonly address: string;
	/** Time limit of each call, in milliseconds. */
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
 * Creates a client with a small pool of kept-alive connections.
 *
 * @param options address of the service and time limit of a call
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
	const result = await send('GET', toPath(key));
	return result.andThen(({status, headers, body}) => {
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

	const result = await send('GET', `/rows?${query.toString()}`);
	return result.andThen(({status, body}) =>
		status === 200 ? readPage(body) : err(createStatusError(status, body)),
	);
}

async function write(send: Send, key: string, value: string, condition: WriteCondition) {
	const headers = {
		...toHeaders(condition),
		'content-type': 'application/octet-stream',
		'content-length': Buffer.byteLength(value),
	};
	const result = await send('PUT', toPath(key), headers, value);
	return result.andThen(response =>
		response.status === 200 || response.status === 201
			? ok({key, value, version: readVersion(response.headers.etag)})
			: err(createWriteError(key, response)),
	);
}

async function remove(send: Send, key: string, version: string) {
	const headers = toHeaders({kind: 'version', version});
	const result = await send('DELETE', toPath(key), headers);
	return result.andThen(response =>
		response.status === 204 ? ok(undefined) : err(createWriteError(key, response)),
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
		return err(createUnavailable(`invalid list response: ${String(error)}`));
	}
}

function createWriteError(key: string, response: ExchangeResponse): TableError {
	if (response.status !== 412) {
		return createStatusError(response.status, response.body);
	}

	const {etag} = response.headers;
	return createConflict(
		etag === undefined
			? undefined
			: {key, value: response.body, version: readVersion(etag)},
	);
}

function createStatusError(status: number, body: string): TableError {
	return status === 503 || status === 429
		? createUnavailable(`status ${status}`)
		: createRejected(status, body.slice(0, 200));
}
