"""What callers that do not behave send."""

_HOST = b' HTTP/1.1\r\nhost: walks.example\r\n'
_ID = b'hornbeamdeck-request-id: ahead\r\n'
REQUESTS = {
    'without_headers': ('callers', b'GET /seats/x' + _HOST + b'\r\n'),
    'without_key': ('callers', b'GET /seats/x' + _HOST + _ID + b'\r\n'),
    'without_route': ('callers', b'GET /none/x' + _HOST + _ID + b'\r\n'),
    'ready_path': ('callers', b'GET /v1/ready' + _HOST + _ID + b'\r\n'),
    'with_route': ('callers', b'GET /open/x' + _HOST + _ID + b'\r\n'),
    'ready': ('ready', b'GET /v1/ready' + _HOST + b'\r\n'),
    'directory': ('directory', b'GET /v1/resolve?name=walks' + _HOST + b'\r\n'),
    'metrics': ('metrics', b'GET /metrics' + _HOST + b'\r\n'),
}
CHUNKED_HEAD = (
    b'POST /seats/x'
    + _HOST
    + _ID
    + b'authorization: Bearer key-of-guides\r\n'
    + b'transfer-encoding: chunked\r\n\r\n'
)
UNFINISHED_BODY = (
    b'POST /seats/x'
    + _HOST
    + _ID
    + b'content-length: 4194304\r\n\r\n'
    + bytes(4_194_303)
)
UNFINISHED_HEAD = b'GET /seats/x' + _HOST + b'x-long: ' + b'x' * 16_000
# The length of the largest frame before a peer is authenticated.
UNFINISHED_FRAME = b'\x00\x00\x10\x00' + b'x' * 4095
LONG_ID = (
    b'GET /none/x'
    + _HOST
    + b'hornbeamdeck-request-id: '
    + b'x' * 16_000
    + b'\r\n\r\n'
)
