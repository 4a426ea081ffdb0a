/** A relay process that is told of changed settings while it starts. */
import path from 'node:path';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendNodeRequest, startRelayMesh} from '../support/relay-mesh.js';

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
