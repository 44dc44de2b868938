package io.anvilvalve.net

import okhttp3.Interceptor
import okhttp3.Response

/** Removes the header that makes OkHttp repeat a call after 503, whatever its method and its settings for retries. */
internal object NoFollowUp : Interceptor {
    private const val UNAVAILABLE = 503

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        if (response.code != UNAVAILABLE) return response
        return response.newBuilder().removeHeader("Retry-After").build()
    }
}
