/** Names from the configuration reach another node's gate as they are, whatever characters they hold. */
import {test} from 'node:test';
import {expect} from 'earl';
import {findRequestHeadFault} from '../../src/http/index.js';
import {buildPeerHeaders, parsePeerAttempt} from '../../src/relay/peer-headers.js';
import {createCall} from '../support/relay-call.js';

for (const name of ['search', '\u010D', 'a b', 'a,b', '%', '\u{1F600}']) {
	// Such a name in a header ended the process.
	test(`the name ${JSON.stringify(name)} survives the hop between nodes`, () => {
		const named = {route: name, service: name, originService: name, team: name};
		const call = {...createCall('one'), ...named, homes: [name, 'coast']};
		const id = {ingress: 'node/1', sequence: 1};
		const headers = buildPeerHeaders({id, call, isRetry: false}, call.arrivedAt);
		const {method, path, body} = call;
		const head = {method, path, rawHeaders: headers};
		expect(findRequestHeadFault({...head, url: path})).toEqual(undefined);
		const received = parsePeerAttempt(head, body, call.arrivedAt);
		const {route, service, originService, team, homes} = received!.call;
		expect({route, service, originService, team, homes}).toEqual({
			...named,
			homes: [name, 'coast'],
		});
	});
}

// Such a name would be written on to the server, which ends the process.
test('an attempt with a name that decodes to control characters is refused', () => {
	const call = createCall('one');
	const id = {ingress: 'node/1', sequence: 1};
	const headers = buildPeerHeaders(
		{id, call: {...call, originService: 'a\nb'}, isRetry: false},
		call.arrivedAt,
	);
	const {method, path, body} = call;
	const received = parsePeerAttempt({method, path, rawHeaders: headers}, body, 0);
	expect(received).toEqual(undefined);
});
