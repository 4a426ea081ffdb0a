/**
 * Tests the commands that use the administration API: their requests, the exit code for each
 * refusal, and that a change whose response is lost is retried with the same change id.
 */
import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {exitCodes} from '../../src/command/index.js';

const root = path.resolve(import.meta.dirname, '../..');
const configuration = 'examples/darkrooms/configuration.yaml';

type ProcessResult = {readonly code: number; readonly output: string};

/** Starts a fake API that calls `respond` for each request, and returns its URL. */
async function startApi(
	context: TestContext,
	respond: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
	const server = createServer(respond).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const address = server.address();
	return `http://127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
}

async function runProgram(url: string, ...parameters: string[]): Promise<ProcessResult> {
	const program = path.join(root, 'dist/foxtailtide.cjs');
	const environment = Object.fromEntries([
		['FOXTAILTIDE_ADMINISTRATION', url],
		['FOXTAILTIDE_TOKEN', 'a-token'],
	]);
	return new Promise(resolve => {
		const child = execFile(
			process.execPath,
			[program, ...parameters],
			{cwd: root, env: {...process.env, ...environment}},
			(_error, stdout, stderr) => {
				resolve({code: child.exitCode ?? -1, output: stdout + stderr});
			},
		);
	});
}

const accepted = {
	accepted: true,
	version: 8,
	changeId: 'c-1',
	inForce: 'peaks',
	by: 'ada',
};

const requestCases: ReadonlyArray<{
	readonly parameters: readonly string[];
	readonly request: string;
	readonly responseBody: unknown;
	readonly shown: string;
}> = [
	{
		parameters: ['preset', 'list'],
		request: 'GET /v1/presets',
		responseBody: {version: 7, inForce: 'peaks', presets: ['ordinary', 'peaks']},
		shown: '* peaks',
	},
	{
		parameters: ['preset', 'show', 'peaks'],
		request: 'GET /v1/presets/peaks',
		responseBody: {isInForce: true, preset: {ranks: []}},
		shown: 'in force',
	},
	{
		parameters: ['preset', 'switch', 'peaks', '--team', 'darkrooms'],
		request: 'POST /v1/presets/peaks/switch?team=darkrooms',
		responseBody: accepted,
		shown: 'version 8',
	},
	{
		parameters: ['configuration', 'apply', configuration],
		request: 'PUT /v1/configuration',
		responseBody: accepted,
		shown: 'version 8',
	},
	{
		parameters: ['configuration', 'history'],
		request: 'GET /v1/configuration/history',
		responseBody: {version: 8, changes: [accepted]},
		shown: 'by ada',
	},
	{
		parameters: ['configuration', 'status'],
		request: 'GET /v1/configuration/status',
		responseBody: {
			newestVersion: 8,
			nodesByVersion: Object.fromEntries([
				['7', 1],
				['8', 3],
			]),
			behind: [{nodeId: 'node-2'}],
			unansweredCount: 0,
			isEverywhere: false,
		},
		shown: 'behind: node-2',
	},
	{
		parameters: ['state'],
		request: 'GET /v1/state',
		responseBody: {gate: {slots: 4}},
		shown: '"slots": 4',
	},
	{
		parameters: ['members'],
		request: 'GET /v1/members',
		responseBody: {members: []},
		shown: 'members',
	},
	{
		parameters: ['drain'],
		request: 'POST /v1/drain',
		responseBody: {draining: true},
		shown: 'leaving',
	},
	{
		parameters: ['keys', 'issue', 'booking', '--count', '2'],
		request: 'POST /v1/keys',
		responseBody: {keys: ['k-1', 'k-2']},
		shown: 'k-1\nk-2',
	},
];

for (const {parameters, request, responseBody, shown} of requestCases) {
	test(`foxtailtide ${parameters.join(' ')} sends ${request}`, async context => {
		const requests: string[] = [];
		const url = await startApi(context, (incoming, response) => {
			requests.push(
				`${incoming.method} ${incoming.url} ${incoming.headers.authorization}`,
			);
			incoming.resume();
			response.end(JSON.stringify(responseBody));
		});
		const {code, output} = await runProgram(url, ...parameters);
		expect(output).toInclude(shown);
		expect(code).toEqual(exitCodes.done);
		expect(requests).toEqual([`${request} Bearer a-token`]);
	});
}

const refusalCases: ReadonlyArray<readonly [number, string, number]> = [
	[401, 'unauthorized', exitCodes.forbidden],
	[403, 'forbidden', exitCodes.forbidden],
	[404, 'unknown-preset', exitCodes.badInput],
	[409, 'conflict', exitCodes.conflict],
	[500, 'internal', exitCodes.failed],
	[503, 'store-unavailable', exitCodes.unreachable],
];

for (const [status, kind, exitCode] of refusalCases) {
	test(`the refusal ${kind} exits with ${exitCode}`, async context => {
		const url = await startApi(context, (incoming, response) => {
			incoming.resume();
			response.writeHead(status);
			response.end(JSON.stringify({error: {kind, message: 'the remedy'}}));
		});
		const {code, output} = await runProgram(url, 'preset', 'switch', 'peaks');
		expect(code).toEqual(exitCode);
		expect(output).toInclude('the remedy');
	});
}

test('a change whose response was lost is retried with the same id', async context => {
	const ids: unknown[] = [];
	const url = await startApi(context, (incoming, response) => {
		ids.push(incoming.headers['foxtailtide-change-id']);
		incoming.resume();
		if (ids.length === 1) {
			incoming.socket.destroy();
			return;
		}

		response.end(JSON.stringify(accepted));
	});
	const {code} = await runProgram(url, 'preset', 'switch', 'peaks');
	expect(code).toEqual(exitCodes.done);
	expect(ids).toEqual([ids[0], ids[0]]);
	expect(String(ids[0]).length).toEqual(36);
});
