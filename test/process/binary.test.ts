/** The single executable prints its version and runs a node that responds. */
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {test} from 'node:test';
import {expect} from 'earl';
import {product} from '../../src/command/index.js';
import {sendCall} from '../support/http.js';
import {findFreePorts, writeSettings} from '../support/processes.js';

const root = path.resolve(import.meta.dirname, '../..');
const executable = path.join(root, 'dist/foxtailtide');

const node = {
	id: 'coast-1',
	host: '127.0.0.1',
	region: 'coast',
	failureDomain: 'coast-a',
};

test('the single executable prints its version and runs a node that responds', async context => {
	execFileSync(process.execPath, [path.join(root, 'scripts/build-binary.mjs')], {
		stdio: 'ignore',
	});
	const version = execFileSync(executable, ['version'], {encoding: 'utf8'});
	expect(version).toInclude(product.version);

	const [peer, control] = await findFreePorts(2);
	const listeners = {data: 0, peer, control, local: 0, administration: 0};
	const settings = writeSettings({node, listeners});
	const child = spawn(executable, ['node', '--settings', settings]);
	const exit = once(child, 'exit');
	context.after(() => child.kill('SIGKILL'));
	const output: unknown[] = await once(createInterface({input: child.stdout}), 'line');
	const {data} = JSON.parse(String(output[0])) as {readonly data: number};
	const answer = await sendCall({port: data, service: 'unheard-of'});
	const refusal = answer.headers['foxtailtide-refusal'];
	// A node without a configuration is not ready.
	expect([answer.status, refusal, answer.outcome]).toEqual([503, 'not-ready', 'not-run']);
	child.kill('SIGTERM');
	expect(await exit).toEqual([0, null]);
});
