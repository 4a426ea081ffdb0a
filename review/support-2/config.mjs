/** Configs as the on-call engineer writes them. */

export const host = 'hulo84.example';

/** A config of the given services and routes, with the limits of the platform's example. */
export function createConfig(version, {services, routes, ...rest}) {
	return {
		version: `r${version}`,
		services: services.map(name => ({
			name,
			'health-path': '/health',
			'max-conns': 220,
			protocol: 'h1',
			tls: false,
		})),
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 67_108_864,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
		hosts: [
			{
				host,
				paths: routes.map(({name, prefix, kind, service, ...others}) => ({
					name,
					prefix,
					kind,
					service,
					'timeout-ms': 1200,
					'target-latency-ms': 500,
					priority: 1,
					'max-attempts': 2,
					...others,
				})),
			},
		],
		...rest,
	};
}
