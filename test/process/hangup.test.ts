/** A relay process that is told of changed settings while it starts, or while the file is missing. */
import {rmSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendNodeRequest, startRelayMesh, waitFor} from '../support/relay-mesh.js';

const hangupScript = path.resolve(
	import.meta.dirname,
	'../support/hangup-at-settings.cjs',
);

test('a node that gets SIGHUP before it watches its settings goes on to serve', async context => {
	const {nodes} = await startRelayMesh(context, 1, 30, {
		nodeFlags: ['--require', hangupScript],
	});
	const {status} = await sendNodeRequest(nodes[0]!.callersPort, '/search/1', {
		headers: {'x-request-id': 'after-hangup'},
	});
	expect(status).toEqual(200);
});

// Reading the missing file ended the process.
test('a node that gets SIGHUP while its settings are missing goes on to serve', async context => {
	const {nodes} = await startRelayMesh(context, 1);
	const {child, settingsFile, callersPort, logs} = nodes[0]!;
	rmSync(settingsFile);
	child.kill('SIGHUP');
	await waitFor(
		() =>
			child.exitCode !== null ||
			logs.some(({message}) => message === 'settings unreadable'),
	);
	const {status} = await sendNodeRequest(callersPort, '/search/1', {
		headers: {'x-request-id': 'after-missing-settings'},
	});
	expect([child.exitCode === null, status]).toEqual([true, 200]);
});
