/**
 * Talks to the administration API of one node. A change carries an id, so that a lost answer is
 * resolved by sending the same change again: it is accepted once.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {request as requestSecurely} from 'node:https';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {exitCodes, type ExitCode} from './exit-codes.js';

const requestTimeoutMilliseconds = 15_000;
const triesOfChange = 3;

/** Where the API is and who asks. */
export type AdministrationTarget = {
	/** Base URL, such as `http://127.0.0.1:7400`. */
	readonly url: URL;
	readonly token: string;
};

/** One request to the API. */
export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	readonly team?: string | undefined;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Why a request had no success, with the exit code that tells it to a script. */
export type ClientError = {
	readonly exitCode: ExitCode;
	readonly message: string;
};

const errorSchema = z.object({
	error: z.object({
		kind: z.string(),
		message: z.string(),
		faults: z
			.array(z.object({line: z.number(), place: z.string(), message: z.string()}))
			.optional(),
	}),
});

/**
 * Sends a request that changes nothing.
 *
 * @param target where and as whom
 * @param call the request
 * @returns the JSON of the answer
 */
export async function sendApiRequest(
	target: AdministrationTarget,
	call: ApiRequest,
): Promise<Result<unknown, ClientError>> {
	const answer = await send(target, call);
	return answer.andThen(({status, text}) => readAnswer(status, text));
}

/**
 * Sends a change, again with the same id when its answer is lost.
 *
 * @param target where and as whom
 * @param call the change, whose headers name its id
 * @returns the JSON of the answer
 */
export async function sendChange(
	target: AdministrationTarget,
	call: ApiRequest,
): Promise<Result<unknown, ClientError>> {
	let result = await sendApiRequest(target, call);
	for (let tries = 1; tries < triesOfChange && isUnreachable(result); tries += 1) {
		// eslint-disable-next-line no-await-in-loop -- Each try follows the loss of the one before.
		result = await sendApiRequest(target, call);
	}

	return result;
}

function isUnreachable(result: Result<unknown, ClientError>): boolean {
	return result.isErr() && result.error.exitCode === exitCodes.unreachable;
}

type Received = {readonly status: number; readonly text: string};

async function send(
	target: AdministrationTarget,
	call: ApiRequest,
): Promise<Result<Received, ClientError>> {
	const url = new URL(call.path, target.url);
	if (call.team !== undefined) {
		url.searchParams.set('team', call.team);
	}

	const body = call.body ?? '';
	return new Promise(resolve => {
		const start = url.protocol === 'https:' ? requestSecurely : request;
		const outgoing = start(url, {
			method: call.method,
			timeout: requestTimeoutMilliseconds,
			headers: {
				authorization: `Bearer ${target.token}`,
				'content-length': Buffer.byteLength(body),
				...call.headers,
			},
		});
		outgoing.on('timeout', () => {
			outgoing.destroy(new Error('no answer in time'));
		});
		outgoing.on('error', error => {
			resolve(err(describeLoss(target, error)));
		});
		outgoing.on('response', response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', error => {
				resolve(err(describeLoss(target, error)));
			});
			response.on('end', () => {
				const text = Buffer.concat(chunks).toString('utf8');
				resolve(ok({status: response.statusCode ?? 0, text}));
			});
		});
		outgoing.end(body);
	});
}

function describeLoss(target: AdministrationTarget, error: Error): ClientError {
	return {
		exitCode: exitCodes.unreachable,
		message: `${target.url.host} did not answer (${error.message}): check --administration, or ask another node`,
	};
}

function readAnswer(status: number, text: string): Result<unknown, ClientError> {
	const content = parseJson(text);
	if (status < 300) {
		return ok(content);
	}

	const parsed = errorSchema.safeParse(content);
	if (!parsed.success) {
		const message = `the answer with status ${status} is not of the administration API: check --administration`;
		return err({exitCode: exitCodes.failed, message});
	}

	const {kind, message, faults = []} = parsed.data.error;
	const lines = faults.map(
		fault => `line ${fault.line}: ${fault.place} ${fault.message}`,
	);
	return err({
		exitCode: findExitCode(status),
		message: [`${kind}: ${message}`, ...lines].join('\n'),
	});
}

const exitCodeOfStatus: ReadonlyMap<number, ExitCode> = new Map<number, ExitCode>([
	[400, exitCodes.badInput],
	[401, exitCodes.forbidden],
	[403, exitCodes.forbidden],
	[404, exitCodes.badInput],
	[409, exitCodes.conflict],
	[413, exitCodes.badInput],
	[422, exitCodes.badInput],
	[503, exitCodes.unreachable],
	[504, exitCodes.unreachable],
]);

function findExitCode(status: number): ExitCode {
	return exitCodeOfStatus.get(status) ?? exitCodes.failed;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
