/** Committing a change to the table under each fault of the table. */
import {test} from 'node:test';
import {expect} from 'earl';
import {acceptChange} from '../../src/configuration/acceptance.js';
import type {Change} from '../../src/configuration/change.js';
import {createDocumentText} from '../support/configuration.js';
import {withTable} from '../support/table.js';

const clock = () => Date.now();

function createChange(changeId: string, expectedVersion?: number): Change {
	const content = {kind: 'document', text: createDocumentText('darkrooms')} as const;
	return {changeId, team: 'darkrooms', by: changeId, content, expectedVersion};
}

/** Timeout of the product's table client; nothing is lost here, so no exchange may reach it. */
const productTimeoutMilliseconds = 2000;

for (const currentVersion of [0, 1]) {
	test(`of two concurrent changes from version ${currentVersion} one is accepted`, async () => {
		await withTable(async table => {
			const options = {table, highestKnownVersion: 0, clock};
			if (currentVersion === 1) {
				await acceptChange(createChange('first', 0), options);
			}

			const answers = await Promise.all([
				acceptChange(createChange('ada', currentVersion), options),
				acceptChange(createChange('ben', currentVersion), options),
			]);
			const acceptedChange = answers.find(answer => answer.isOk())?._unsafeUnwrap();
			const conflict = answers.find(answer => answer.isErr())?._unsafeUnwrapErr();
			expect(acceptedChange?.record.version).toEqual(currentVersion + 1);
			expect(conflict?.kind).toEqual('conflict');
			expect(conflict?.current?.changeId).toEqual(acceptedChange?.record.changeId);
		}, productTimeoutMilliseconds);
	});
}

const faultCases = [
	{
		name: 'answer to the write lost',
		faults: {answersLost: {count: 1}, methods: ['PUT']},
	},
	{
		name: 'answers to the write and its retry lost',
		faults: {answersLost: {count: 2}, methods: ['PUT']},
	},
	{
		name: 'request for the write lost',
		faults: {requestsLost: {count: 1}, methods: ['PUT']},
	},
];

for (const {name, faults} of faultCases) {
	test(`a change is accepted exactly once: ${name}`, async () => {
		await withTable(async (table, setFaults) => {
			const options = {table, highestKnownVersion: 0, clock};
			await setFaults(faults);
			const accepted = await acceptChange(createChange('ada', 0), options);
			expect(accepted._unsafeUnwrap().record.version).toEqual(1);
			const repeated = await acceptChange(createChange('ada', 0), options);
			expect(repeated._unsafeUnwrap().record).toEqual(accepted._unsafeUnwrap().record);
		});
	});
}

test('while the table refuses requests, a change is refused and nothing changes', async () => {
	await withTable(async (table, setFaults) => {
		const options = {table, highestKnownVersion: 0, clock};
		await setFaults({outage: 'refuses'});
		const refused = await acceptChange(createChange('ada', 0), options);
		expect(refused._unsafeUnwrapErr().kind).toEqual('store-unavailable');
		await setFaults({});
		const accepted = await acceptChange(createChange('ada', 0), options);
		expect(accepted.isOk()).toEqual(true);
	});
});

test('a change whose answers are all lost is unresolved until its id is sent again', async () => {
	await withTable(async (table, setFaults) => {
		let time = 0;
		const advancingClock = () => {
			time += 3000;
			return time;
		};

		const options = {table, highestKnownVersion: 0, clock: advancingClock};
		await setFaults({answersLost: {share: 1}, methods: ['PUT']});
		const unresolved = await acceptChange(createChange('ada', 0), options);
		expect(unresolved._unsafeUnwrapErr().kind).toEqual('unresolved');
		await setFaults({});
		const resolved = await acceptChange(createChange('ada', 0), options);
		expect(resolved._unsafeUnwrap().record.version).toEqual(1);
	});
});
