/** The commands, run against the administration API of a real node with the stand-in table. */
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {exitCodes} from '../../src/command/index.js';
import {findFreePorts, startProcess, writeSettings} from '../support/processes.js';

const root = path.resolve(import.meta.dirname, '../..');
const configuration = 'examples/darkrooms/configuration.yaml';
const readyTimeoutMilliseconds = 15_000;

type CommandResult = {readonly code: number; readonly output: string};

async function runProgram(
	url: string,
	token: string,
	parameters: readonly string[],
): Promise<CommandResult> {
	const environment = Object.fromEntries([
		['FOXTAILTIDE_ADMINISTRATION', url],
		['FOXTAILTIDE_TOKEN', token],
	]);
	return new Promise(resolve => {
		const child = execFile(
			process.execPath,
			[path.join(root, 'dist/foxtailtide.cjs'), ...parameters],
			{cwd: root, env: {...process.env, ...environment}},
			(_error, stdout, stderr) => {
				resolve({code: child.exitCode ?? -1, output: stdout + stderr});
			},
		);
	});
}

/** Waits until the node has activated the accepted configuration. */
async function waitUntilReady(url: string): Promise<void> {
	const limit = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < limit) {
		const answer = await fetch(`${url}/readyz`);
		await answer.text();
		if (answer.status === 200) {
			return;
		}

		await sleep(50);
	}
}

const steps: ReadonlyArray<{
	readonly token: string;
	readonly parameters: readonly string[];
	readonly code: number;
	readonly shown: string;
}> = [
	{
		token: 'operator',
		parameters: ['preset', 'list'],
		code: exitCodes.done,
		shown: '* ordinary',
	},
	{
		token: 'reader',
		parameters: ['preset', 'show', 'peaks'],
		code: exitCodes.done,
		shown: 'ranks',
	},
	{
		token: 'reader',
		parameters: ['preset', 'switch', 'peaks'],
		code: exitCodes.forbidden,
		shown: 'the token may only read',
	},
	{
		token: 'nobody',
		parameters: ['state'],
		code: exitCodes.forbidden,
		shown: 'unauthorized',
	},
	{
		token: 'operator',
		parameters: ['preset', 'switch', 'holidays'],
		code: exitCodes.badInput,
		shown: 'unknown-preset',
	},
	{
		token: 'operator',
		parameters: ['preset', 'switch', 'peaks', '--expected-version', '1'],
		code: exitCodes.done,
		shown: 'version 2',
	},
	{
		token: 'operator',
		parameters: ['preset', 'switch', 'ordinary', '--expected-version', '1'],
		code: exitCodes.conflict,
		shown: 'conflict',
	},
	{
		token: 'reader',
		parameters: ['configuration', 'history'],
		code: exitCodes.done,
		shown: 'version 2: peaks in force',
	},
	{
		token: 'reader',
		parameters: ['configuration', 'status'],
		code: exitCodes.done,
		shown: 'newest version 2',
	},
	{
		token: 'reader',
		parameters: ['members'],
		code: exitCodes.done,
		shown: '"nodeId": "coast-1"',
	},
	{
		token: 'reader',
		parameters: ['state', '--json'],
		code: exitCodes.done,
		shown: '"membership"',
	},
	{
		token: 'operator',
		parameters: ['keys', 'issue', 'booking'],
		code: exitCodes.done,
		shown: 'ftk1.',
	},
	{token: 'operator', parameters: ['drain'], code: exitCodes.done, shown: 'leaving'},
];

test('the commands work on a real node, which exits after its drain', async context => {
	const table = await startProcess<{port: number}>(context, 'stand-in-table', []);
	const [peer, control, administration] = await findFreePorts(3);
	const digest = (token: string): string =>
		createHash('sha256').update(token).digest('hex');
	const settings = writeSettings({
		node: {id: 'coast-1', host: '127.0.0.1', region: 'coast', failureDomain: 'coast-a'},
		listeners: {data: 0, peer, control, local: 0, administration},
		platform: {table: `http://127.0.0.1:${table.ready.port}`},
		binding: {keySecrets: ['secret of the commands test']},
		administration: {
			tokens: [
				{team: 'darkrooms', role: 'operate', sha256: digest('operator')},
				{team: 'darkrooms', role: 'read', sha256: digest('reader')},
			],
		},
	});
	const node = await startProcess(context, 'foxtailtide', [
		'node',
		'--settings',
		settings,
	]);
	const url = `http://127.0.0.1:${administration}`;
	const applied = await runProgram(url, 'operator', [
		'configuration',
		'apply',
		configuration,
	]);
	expect(applied).toEqual({code: exitCodes.done, output: expect.includes('version 1')});
	await waitUntilReady(url);
	for (const {token, parameters, code, shown} of steps) {
		await context.test(
			`${token}: ${parameters.join(' ')} exits with ${code}`,
			async () => {
				const result = await runProgram(url, token, parameters);
				expect(result).toEqual({code, output: expect.includes(shown)});
			},
		);
	}

	expect(await node.ended).toEqual(0);
});
