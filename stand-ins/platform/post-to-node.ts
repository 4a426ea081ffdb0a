/** How a stand-in server reaches the node beside it. */
import {request as sendRequest} from 'node:http';

export type NodeAddress = {
	readonly host: string;
	readonly port: number;
	readonly address: string;
};

/** Posts JSON to the node and resolves with the status; 0 if there was no response. */
export async function postToNode(
	{host, port}: NodeAddress,
	path: string,
	body: unknown,
): Promise<number> {
	return new Promise(resolve => {
		const request = sendRequest(
			{host, port, method: 'POST', path, agent: false},
			response => {
				response.resume();
				resolve(response.statusCode!);
			},
		);
		request.on('error', () => {
			resolve(0);
		});
		request.end(JSON.stringify(body));
	});
}
